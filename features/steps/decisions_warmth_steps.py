"""Steps for the known capacity of an endpoint."""

from functools import partial

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from turmericyard_decisions.loan import Holder, LoanGranted
from turmericyard_decisions.permit import PermitLedger
from turmericyard_decisions.share import SHARE_COUNT
from turmericyard_decisions.warmth import (
    EVIDENCE_TTL_SECONDS,
    ColdSign,
    create_warmth,
)


@given('an endpoint with cold limit {cold:d} and limit {limit:d}')
def step_warmth(context: Context, cold: int, limit: int) -> None:
    context.warmth = create_warmth(cold, limit)
    context.warmth.observe_identity('restart-1', 'version-1')
    context.running = 0


@when(
    '{count:d} completions are seen beside {others:d} others '
    'by second {second:d}',
)
def step_completions(
    context: Context,
    count: int,
    others: int,
    second: int,
) -> None:
    for number in range(count):
        at = second * (number + 1) / count
        context.warmth.observe_first_token(at, 0.3)
        context.warmth.observe_healthy(at, others + 1)


@when('{count:d} outputs of {size:d} tokens are seen beside {others:d} others')
def step_outputs(
    context: Context,
    count: int,
    size: int,
    others: int,
) -> None:
    for _ in range(count):
        context.warmth.observe_tokens(1, size, others + 1)


@when('the endpoint shows {sign}')
def step_sign(context: Context, sign: str) -> None:
    warmth = context.warmth
    if sign == 'a new restart id':
        warmth.observe_identity('restart-2', 'version-1')
    elif sign == 'a new version':
        warmth.observe_identity('restart-1', 'version-2')
    elif sign == 'a refused connection':
        warmth.mark_cold(ColdSign.REFUSED)
    elif sign == 'a jump of time to first token':
        warmth.observe_first_token(10.5, 1.5)
    elif sign == 'a jump of time between tokens':
        for pace in (0.025, 0.026, 0.025, 0.041, 0.042, 0.042, 0.041):
            warmth.observe_pace(pace)
    elif sign == 'an emptied cache':
        warmth.mark_cold(ColdSign.CACHE_EMPTIED)
    elif sign == 'a return into service':
        warmth.mark_cold(ColdSign.RETURNED)
    else:
        warmth.bound(14, running=5)


@given('its shares of ranks {first:d} and {second:d} are unavailable')
def step_unavailable(context: Context, first: int, second: int) -> None:
    context.permits = PermitLedger(context.warmth.cold_limit)
    lent = LoanGranted(Holder('node-1', 'incarnation-1'), 1, fresh=True)
    for rank in set(range(SHARE_COUNT)) - {first, second}:
        context.permits.borrow(
            rank, lent, sent_at=0, received_at=0, loan_seconds=60
        )


@when('it is kept full for {count:d} completions')
def step_kept_full(context: Context, count: int) -> None:
    permits: PermitLedger = context.permits
    context.runs = [1]
    for now in range(count):
        bound = context.warmth.bound(
            now, allowance=partial(permits.permitted_capacity_for, now)
        )
        context.runs.append(permits.permitted_capacity_for(now, bound))
        context.warmth.observe_healthy(now, context.runs[-1])


@then('its other shares allow {count:d} at once')
def step_other_shares(context: Context, count: int) -> None:
    assert context.runs[-1] == count, context.runs


@then('it never ran more than twice the concurrency seen before')
def step_doubled_at_most(context: Context) -> None:
    for number, run in enumerate(context.runs[1:], 1):
        assert run <= 2 * max(context.runs[:number]), context.runs


@then('its bound is {bound:d} at second {second:d}')
def step_bound(context: Context, bound: int, second: int) -> None:
    assert context.warmth.bound(second) == bound, context.warmth.bound(second)


@then('any history keeps the bound within cold limit, evidence and limit')
def step_never_above(context: Context) -> None:
    events = st.lists(
        st.tuples(
            st.sampled_from(['healthy', 'cold', 'token', 'wait']),
            st.floats(0, 20),
            st.integers(1, 12),
        ),
        max_size=60,
    )

    @seed(7)
    @settings(database=None, deadline=None, max_examples=200)
    @draw(events, st.integers(1, 4), st.integers(4, 24))
    def check(history, cold: int, limit: int) -> None:
        warmth = create_warmth(cold, limit)
        now, evidence = 0.0, []
        for kind, step, size in history:
            now += step
            if kind == 'healthy':
                warmth.observe_healthy(now, size)
                evidence.append(now)
            elif kind == 'cold':
                warmth.mark_cold(ColdSign.REFUSED)
                evidence.clear()
            elif kind == 'token':
                warmth.observe_first_token(now, 0.2)
            recent = sum(now - at <= EVIDENCE_TTL_SECONDS for at in evidence)
            bound = warmth.bound(now)
            assert min(cold, limit) <= bound <= min(limit, cold + recent)

    check()
