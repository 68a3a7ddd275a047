"""Steps for retries, load shedding and the quarantine."""

import random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import seed, settings
from hypothesis import strategies as st

from support.request_marks import in_flight, marks
from turmericyard_decisions.load_shedding import Keep, Shed, check_wait
from turmericyard_decisions.quarantine import (
    EndpointDeath,
    Verdict,
    create_quarantine,
)
from turmericyard_decisions.retry import (
    INITIAL_RETRIES,
    RETRIES_PER_SUCCESS,
    Attempt,
    ExecutionState,
    Retry,
    create_retry_budgets,
)


@given('an {kind} attempt number {number:d} of which {ran} ran')
def step_attempt(context: Context, kind: str, number: int, ran: str) -> None:
    context.attempt = Attempt(
        'w', number, kind == 'idempotent', ExecutionState[ran], 30
    )


@then('the retry decision is {name}')
def step_decision(context: Context, name: str) -> None:
    decision = create_retry_budgets().decide(context.attempt, 0)
    seen = 'RETRY' if isinstance(decision, Retry) else decision.name
    assert seen == name, seen


@then(
    'any history keeps retries within the initial ones and the earned share',
)
def step_budget(context: Context) -> None:
    @seed(13)
    @settings(database=None, deadline=None, max_examples=200)
    @draw(st.lists(st.booleans(), max_size=120))
    def check(history) -> None:
        budgets = create_retry_budgets()
        attempt = Attempt('w', 1, True, ExecutionState.NOTHING, 30)
        retried = 0
        for success in history:
            if success:
                budgets.observe_success('w')
            else:
                retried += isinstance(budgets.decide(attempt, 0), Retry)
        earned = INITIAL_RETRIES + RETRIES_PER_SUCCESS * sum(history)
        assert retried <= earned + 1e-6

    check()


@given(
    '{tokens:d} expected tokens ahead and a rate of {rate:d} tokens a second'
)
def step_ahead(context: Context, tokens: int, rate: int) -> None:
    context.ahead = (tokens, rate)


@then(
    'a request with {left:d} seconds left is refused and may be retried after '
    '{retry:d} seconds',
)
def step_shed(context: Context, left: int, retry: int) -> None:
    decision = check_wait(*context.ahead, 0, left)
    assert decision == Shed(20, retry), decision


@then('a request with {left:d} seconds left is kept')
def step_kept(context: Context, left: int) -> None:
    assert check_wait(*context.ahead, 0, left) == Keep(20)


@given('{count:d} requests ran on endpoint "{name}" when it died')
def step_died(context: Context, count: int, name: str) -> None:
    if not hasattr(context, 'quarantine'):
        context.quarantine = create_quarantine()
    death = EndpointDeath(name, in_flight(range(1, count + 1)))
    assert context.quarantine.observe_death(death, 0)


@given(
    'requests {first:d} and {second:d} ran on endpoint "{name}" when it died'
)
def step_pair_died(
    context: Context, first: int, second: int, name: str
) -> None:
    context.quarantine = create_quarantine()
    death = EndpointDeath(name, in_flight((first, second)))
    context.quarantine.observe_death(death, 0)


@given(
    'requests {first:d} and {second:d} ran on endpoint "{name}" when it died'
    ' {later:d} seconds later'
)
def step_pair_later(
    context: Context, first: int, second: int, name: str, later: int
) -> None:
    death = EndpointDeath(name, in_flight((first, second)))
    context.quarantine.observe_death(death, later)


@then('request {first:d} may run beside request {second:d}')
def step_beside(context: Context, first: int, second: int) -> None:
    assert context.quarantine.may_run_beside(marks(first), [marks(second)])


@then('request {first:d} may not run beside request {second:d}')
def step_not_beside(context: Context, first: int, second: int) -> None:
    assert not context.quarantine.may_run_beside(marks(first), [marks(second)])


@then('request 1 may not run beside request 2 of the same death')
def step_not_beside_same_death(context: Context) -> None:
    assert not context.quarantine.may_run_beside(marks(1), [marks(2)])
    assert context.quarantine.may_run_beside(marks(1), [marks(99)])


@when('requests {first:d} to {last:d} complete elsewhere')
def step_complete(context: Context, first: int, last: int) -> None:
    for number in range(first, last + 1):
        context.quarantine.observe_completion(marks(number))


@when(
    'request 1 and {count:d} others new to it run on endpoint "{name}" '
    'when it dies',
)
def step_dies(context: Context, count: int, name: str) -> None:
    others = range(100, 100 + count)
    death = EndpointDeath(name, in_flight((1, *others)))
    context.quarantine.observe_death(death, 0)


@then('request 1 is refused for good')
def step_refused(context: Context) -> None:
    assert context.quarantine.classify(marks(1), 2) is Verdict.REFUSED


@then('request 1 is suspected')
def step_suspected(context: Context) -> None:
    assert context.quarantine.classify(marks(1), 2) is Verdict.SUSPECT


@then('requests {first:d} to {last:d} are clear')
def step_clear(context: Context, first: int, last: int) -> None:
    for number in range(first, last + 1):
        verdict = context.quarantine.classify(marks(number), 2)
        assert verdict is Verdict.CLEAR


@then('the body of request 1 under a new key is refused for good')
def step_new_key(context: Context) -> None:
    verdict = context.quarantine.classify(marks(1, 'another'), 2)
    assert verdict is Verdict.REFUSED


@then("any order and repetition of peers' deaths and clearances agree")
def step_merge(context: Context) -> None:
    sets = st.sets(st.integers(1, 6), min_size=1, max_size=4)

    @seed(17)
    @settings(database=None, deadline=None, max_examples=100)
    @draw(st.lists(sets, min_size=1, max_size=5), sets, st.randoms())
    def check(runs, completed, shuffle_random: random.Random) -> None:
        first, second = create_quarantine(), create_quarantine()
        deaths = [
            EndpointDeath(f'e{place}', in_flight(numbers))
            for place, numbers in enumerate(runs)
        ]
        first.merge(deaths, (), 0)
        cleared = set()
        for number in completed:
            cleared |= first.observe_completion(marks(number))
        shuffled = deaths + deaths
        shuffle_random.shuffle(shuffled)
        second.merge(shuffled, cleared, 0)
        second.merge(deaths, cleared, 0)
        for number in range(1, 7):
            assert first.classify(marks(number), 2) is second.classify(
                marks(number),
                2,
            )
            if number in completed:
                assert first.classify(marks(number), 2) is Verdict.CLEAR

    check()


@given('{count:d} endpoints died {when} while each ran a request')
def step_event(context: Context, count: int, when: str) -> None:
    context.quarantine = create_quarantine()
    gap_seconds = 0.5 if when == 'at the same moment' else 60
    for place in range(count):
        death = EndpointDeath(
            f'zone-{place}:r', in_flight((place + 1, 50 + place))
        )
        context.quarantine.observe_death(death, place * gap_seconds)


@given('endpoints die {gap:g} seconds apart, by zone and request')
def step_zones(context: Context, gap: float) -> None:
    quarantine = create_quarantine()
    context.quarantine = quarantine
    quarantine.zones = {
        f'e{place}': row['zone'] for place, row in enumerate(context.table)
    }
    for place, row in enumerate(context.table):
        death = EndpointDeath(f'e{place}:r', in_flight((int(row['request']),)))
        quarantine.observe_death(death, place * gap)


@when(
    'request {number:d} is on endpoints of zone "{zone}" that die'
    ' {first:g} and {second:g} seconds later'
)
def step_series(
    context: Context, number: int, zone: str, first: float, second: float
) -> None:
    quarantine = context.quarantine
    for at in (first, second):
        name = f'series-{at}'
        quarantine.zones = {**quarantine.zones, name: zone}
        death = EndpointDeath(f'{name}:r', in_flight((number,)))
        quarantine.observe_death(death, at)


@given('request {number:d} was retried on one that died with them')
def step_retried(context: Context, number: int) -> None:
    death = EndpointDeath('zone-retry:r', in_flight((number,)))
    context.quarantine.observe_death(death, 1)


@when(
    'request {number:d} is on an endpoint that dies {seconds:d} seconds later'
)
def step_later(context: Context, number: int, seconds: int) -> None:
    name = f'later-{seconds}:r'
    context.quarantine.observe_death(
        EndpointDeath(name, in_flight((number,))), seconds
    )


@then('request {number:d} is judged {verdict}')
def step_judged(context: Context, number: int, verdict: str) -> None:
    found = context.quarantine.classify(marks(number), 2)
    assert found is Verdict[verdict], found
