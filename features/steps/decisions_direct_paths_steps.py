"""Steps for the knowledge of blocked paths."""

from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.direct_paths import DirectPaths


@given('a node whose path to "{first}" is blocked')
def step_one(context: Context, first: str) -> None:
    context.paths = DirectPaths()
    context.paths.record_blocked(first, 0)


@given('a node whose paths to "{first}" and then "{second}" are blocked')
def step_two(context: Context, first: str, second: str) -> None:
    step_one(context, first)
    context.paths.record_blocked(second, 0)


@given(
    'a node whose paths to "{first}" and then "{second}" are blocked, with a'
    ' direct connection to "{between}" in between'
)
def step_between(
    context: Context, first: str, second: str, between: str
) -> None:
    step_one(context, first)
    context.paths.record_connected(between)
    context.paths.record_blocked(second, 0)


@when('it connects to "{address}" directly')
def step_connects(context: Context, address: str) -> None:
    context.paths.record_connected(address)


@when('peers reach "{address}" for it {count:d} times in 1 second')
def step_peers_reach(context: Context, address: str, count: int) -> None:
    for number in range(count):
        context.paths.record_blocked(address, number / count)


@then('it tries "{free}" directly, and "{blocked}" only after 1 second')
def step_tries(context: Context, free: str, blocked: str) -> None:
    assert context.paths.may_attempt(free, 0)
    assert not context.paths.may_attempt(blocked, 0.99)
    assert context.paths.may_attempt(blocked, 1)
    assert not context.paths.may_attempt(blocked, 1.5)


@then('it tries one endpoint a second directly, whichever it is')
def step_one_a_second(context: Context) -> None:
    tried = [
        context.paths.may_attempt(address, now / 10)
        for now in range(30)
        for address in 'abcd'
    ]
    assert sum(tried) == 2, sum(tried)


@then('it tries "{address}" directly at once')
def step_at_once(context: Context, address: str) -> None:
    assert context.paths.may_attempt(address, 0)


@then('it tries "{address}" directly after 1 second')
def step_after(context: Context, address: str) -> None:
    assert not context.paths.may_attempt(address, 0.9)
    assert context.paths.may_attempt(address, 1)


@then('it is cut off')
def step_cut_off(context: Context) -> None:
    assert context.paths.is_cut_off


@then('it is not cut off')
def step_not_cut_off(context: Context) -> None:
    assert not context.paths.is_cut_off
