"""Steps for admission by predicted memory."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from turmericyard_decisions.admission import (
    Deferral,
    LoadReport,
    create_engine_ledger,
    limits_for_tail_weight,
)
from turmericyard_decisions.length import LengthDistribution
from turmericyard_decisions.memory import RunningGeneration, forecast_all


def admit(context: Context, count: int, warm_bound: int = 99) -> list:
    answers = []
    for _ in range(count):
        answer = context.ledger.decide(context.work, warm_bound, 0.5, 0)
        if answer is None:
            name = f'g{len(context.ledger.grants)}'
            context.ledger.grant(name, context.work, 0)
        answers.append(answer)
    return answers


@given(
    'an engine with memory for {memory:d} tokens and outputs of {size:d} tokens',
)
def step_engine(context: Context, memory: int, size: int) -> None:
    context.ledger = create_engine_ledger(memory, 64)
    context.work = RunningGeneration(
        100, 0, 8192, LengthDistribution((float(size),) * 128)
    )


@then('it admits 1 generation')
def step_admits_one(context: Context) -> None:
    assert admit(context, 2) == [None, Deferral.MEMORY]


@then('it admits {count:d} generations and defers the next for memory')
def step_admits(context: Context, count: int) -> None:
    answers = admit(context, count + 1)
    assert answers == [None] * count + [Deferral.MEMORY], answers


@then('with warm bound {bound:d} it admits {count:d} generations')
def step_bound(context: Context, bound: int, count: int) -> None:
    answers = admit(context, count + 1, bound)
    assert answers == [None] * count + [Deferral.WARM_BOUND], answers


@when('a load report shows {tokens:d} resident tokens of unknown generations')
def step_unknown(context: Context, tokens: int) -> None:
    report = LoadReport(0, tokens, frozenset(('other',)))
    context.ledger.observe_report(report, 0)


@when('{count:d} generations are admitted and an earlier report arrives')
def step_before(context: Context, count: int) -> None:
    admit(context, count)
    context.ledger.observe_report(LoadReport(-1, 0, frozenset()), 0)


@when(
    '{count:d} generations are admitted and a report {seconds:d} seconds '
    'later lists {left:d}',
)
def step_later(context: Context, count: int, seconds: int, left: int) -> None:
    admit(context, count)
    listed = frozenset(tuple(context.ledger.grants)[:left])
    report = LoadReport(seconds, 0, listed)
    context.ledger.observe_report(report, seconds + 1)


@then('the next generation is deferred for memory')
def step_deferred(context: Context) -> None:
    assert admit(context, 1) == [Deferral.MEMORY]


@then('the ledger holds {count:d} generations')
def step_holds(context: Context, count: int) -> None:
    assert len(context.ledger.grants) == count


@then('a tail weight of 1 allows a smaller batch and margin than 0')
def step_trade(context: Context) -> None:
    assert (
        limits_for_tail_weight(1).batch_share
        < limits_for_tail_weight(0).batch_share
    )
    assert (
        limits_for_tail_weight(1).deviations
        < limits_for_tail_weight(0).deviations
    )


@then('any running set has a peak at least that of each part of it')
def step_monotone(context: Context) -> None:
    works = st.builds(
        RunningGeneration,
        st.integers(1, 2000),
        st.integers(0, 3000),
        st.just(8192),
        st.lists(st.floats(1, 8000), min_size=4, max_size=16).map(
            lambda points: LengthDistribution(tuple(sorted(points))),
        ),
    )

    @seed(3)
    @settings(database=None, deadline=None, max_examples=100)
    @draw(st.lists(works, min_size=1, max_size=12))
    def check(running) -> None:
        whole = forecast_all(running).peak(2)
        part = forecast_all(running[1:]).peak(2)
        assert whole >= part
        assert whole >= sum(one.resident() for one in running)

    check()
