"""Steps for the online model of output lengths."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from turmericyard_decisions.length import (
    LengthDistribution,
    create_length_model,
)


def quantile(context: Context, workspace: str, share: float) -> float:
    lengths = context.lengths.lengths('reports', workspace, 8192)
    return lengths.quantile(share)


@given('a length model that saw {count:d} outputs of {tokens:d} tokens')
def step_saw(context: Context, count: int, tokens: int) -> None:
    context.lengths = create_length_model()
    step_sees(context, count, tokens)


@when('it sees {count:d} outputs of {tokens:d} tokens')
def step_sees(context: Context, count: int, tokens: int) -> None:
    for _ in range(count):
        context.lengths.observe('reports', 'known', tokens)


@given(
    'a length model that saw {count:d} outputs doubling from '
    '{low:d} to {high:d} tokens',
)
def step_doubling(context: Context, count: int, low: int, high: int) -> None:
    context.lengths = create_length_model()
    ratio = high / low
    for step in range(count):
        tokens = int(low * ratio ** (step * 7 % count / count))
        context.lengths.observe('reports', 'known', tokens)


@then('its median length lies between {low:d} and {high:d} tokens')
def step_median(context: Context, low: int, high: int) -> None:
    assert low <= quantile(context, 'known', 0.5) <= high


@then(
    'the median length of a new workspace lies between {a:d} and {b:d} tokens'
)
def step_new_workspace(context: Context, a: int, b: int) -> None:
    assert a <= quantile(context, 'new', 0.5) <= b


@then(
    'the predicted remainder at {late:d} tokens is more than at {early:d} tokens'
)
def step_remainder(context: Context, late: int, early: int) -> None:
    lengths = context.lengths.lengths('reports', 'known', 8192)
    assert lengths.mean(late) - late > lengths.mean(early) - early


@then('beyond all observed lengths the prediction exceeds what was produced')
def step_past(context: Context) -> None:
    lengths = context.lengths.lengths('reports', 'known', 99999)
    assert lengths.mean(50000) > 50000
    assert 0 < lengths.survival(60000, 50000) < 1


@then('any lengths and any progress give survival and quantiles in order')
def step_in_order(context: Context) -> None:
    @seed(5)
    @settings(database=None, deadline=None, max_examples=200)
    @draw(
        st.lists(st.integers(1, 9999), min_size=1, max_size=128),
        st.integers(0, 9999),
        st.integers(0, 9999),
    )
    def check(points: list[int], produced: int, more: int) -> None:
        table = LengthDistribution(tuple(float(one) for one in sorted(points)))
        near = table.survival(produced + more, produced)
        far = table.survival(produced + more + 100, produced)
        assert 0 <= far <= near <= 1
        low, high = (table.quantile(q, produced) for q in (0.1, 0.9))
        assert produced <= low <= high

    check()
