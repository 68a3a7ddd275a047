"""Steps for forwarding: streams, budgets and the choice of endpoints."""

from random import Random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from turmericyard_decisions.endpoint_choice import (
    CandidateLoad,
    choose_backup_endpoint,
    choose_copy_endpoint,
    choose_engine,
)
from turmericyard_decisions.event_stream_joiner import (
    EventMissing,
    EventStreamJoiner,
)
from turmericyard_decisions.outlier import FailureEvidence
from turmericyard_decisions.run_moves import order_copies
from turmericyard_decisions.service_retry_budget import (
    ColdRateLimiter,
    ServiceRetryBudget,
)

EXAMPLES = 200
NODES = 5


def event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def stream(first: int, last: int) -> bytes:
    return b''.join(event(number) for number in range(first, last + 1))


@then('wherever streams are cut and continued, events come once and in order')
def step_any_cut(context: Context) -> None:
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_any(
        st.integers(1, 30),
        st.lists(st.integers(0, 1200), max_size=4),
        st.integers(1, 40),
    )
    def check(length: int, cuts: list[int], piece: int) -> None:
        event_joiner = EventStreamJoiner()
        passed = b''
        for cut in [*cuts, None]:
            begin = int(event_joiner.last or 0)
            data = stream(max(1, begin), length)[:cut]
            for start in range(0, len(data), piece):
                passed += event_joiner.feed(data[start : start + piece])
            if cut is not None:
                event_joiner.restart()
        passed += event_joiner.finish()
        assert passed == stream(1, length), passed

    check()


@given('the events {first:d} to {last:d} and a truncated event {truncated:d}')
def step_first(context: Context, first: int, last: int, truncated: int) -> None:
    context.event_joiner = EventStreamJoiner()
    context.passed = context.event_joiner.feed(
        stream(first, last) + event(truncated)[:7]
    )
    context.event_joiner.restart()
    context.missing = None


@when('the generation continues with the events {first:d} to {last:d}')
def step_on(context: Context, first: int, last: int) -> None:
    try:
        context.passed += context.event_joiner.feed(stream(first, last))
    except EventMissing as error:
        context.missing = error


@then('events {first:d} to {last:d} were passed on completely')
def step_passed(context: Context, first: int, last: int) -> None:
    assert context.passed == stream(first, last), context.passed


@then(
    'an event is reported as missing and {first:d} to {last:d} were passed on'
)
def step_missing(context: Context, first: int, last: int) -> None:
    assert context.missing is not None
    assert context.passed == stream(first, last)


HISTORY = st.lists(
    st.tuples(st.floats(0, 40), st.integers(0, NODES - 1), st.booleans()),
    max_size=150,
)


@then('any history of 5 nodes keeps retries within ratio and allowance')
def step_budget(context: Context) -> None:
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_any(HISTORY)
    def check(history: list[tuple[float, int, bool]]) -> None:
        budgets = [ServiceRetryBudget(0.2, 10) for _ in range(NODES)]
        requests: list[float] = []
        retries: list[float] = []
        for now, node, is_retry in sorted(history):
            if not is_retry:
                budgets[node].observe_request(now)
                requests.append(now)
            elif budgets[node].allowed(10 / NODES, now):
                budgets[node].spend(now)
                retries.append(now)
            seen = [each for each in requests if each >= now - 10]
            spent = [each for each in retries if each >= now - 10]
            assert len(spent) <= 0.2 * len(seen) + 10 + 1e-9

    check()


@then("any history of 5 nodes keeps a cold endpoint's bound each second")
def step_cold(context: Context) -> None:
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_any(HISTORY)
    def check(history: list[tuple[float, int, bool]]) -> None:
        rates = [ColdRateLimiter() for _ in range(NODES)]
        sent: list[float] = []
        for now, node, _ in sorted(history):
            if rates[node].allowed(10 / NODES, now):
                rates[node].spend(now)
                sent.append(now)
            assert len([each for each in sent if each > now - 1]) <= 10

    check()


@given('{count:d} engines of {capacity:d} tokens')
def step_engines(context: Context, count: int, capacity: int) -> None:
    context.capacity = capacity
    context.candidate_loads = {
        str(number): {'zone': 'a', 'held': 0, 'memory': 0, 'reading': 0}
        for number in range(1, count + 1)
    }
    context.unplaced = 0


@given('{count:d} engines of {capacity:d} tokens in the zones {zones}')
def step_zones(context: Context, count: int, capacity: int, zones: str) -> None:
    step_engines(context, count, capacity)
    for candidate_load, zone in zip(
        context.candidate_loads.values(), zones.split(', '), strict=True
    ):
        candidate_load['zone'] = zone


@given('engine {number} holds {tokens:d} tokens')
def step_holds(context: Context, number: str, tokens: int) -> None:
    context.candidate_loads[number].update(held=tokens, memory=tokens)


@given('engine {number} holds {tokens:d} tokens and forecasts {memory:d}')
def step_forecast(
    context: Context, number: str, tokens: int, memory: int
) -> None:
    context.candidate_loads[number].update(held=tokens, memory=memory)


def candidate_loads(context: Context) -> list[CandidateLoad]:
    return [
        CandidateLoad(
            number,
            candidate_load['zone'],
            64,
            candidate_load['reading'],
            candidate_load['held'],
            candidate_load['memory'],
            context.capacity,
            candidate_load['reading'] * 3000,
        )
        for number, candidate_load in context.candidate_loads.items()
    ]


@when('{count:d} prompts of {tokens:d} tokens arrive at once')
def step_arrive(context: Context, count: int, tokens: int) -> None:
    random = Random(7)
    for _ in range(count):
        chosen = choose_engine(candidate_loads(context), tokens, 'a', random)
        if chosen is None:
            context.unplaced += 1
            continue
        candidate_load = context.candidate_loads[chosen.identity]
        candidate_load['reading'] += 1
        candidate_load['held'] += tokens
        candidate_load['memory'] += tokens


@then('each engine reads {count:d} of them')
def step_each(context: Context, count: int) -> None:
    reading = [
        candidate_load['reading']
        for candidate_load in context.candidate_loads.values()
    ]
    assert set(reading) == {count}, reading


@then('engine {number} reads {count:d} of them')
def step_reads(context: Context, number: str, count: int) -> None:
    assert context.candidate_loads[number]['reading'] == count


@then('{count:d} of them are not placed')
def step_unplaced(context: Context, count: int) -> None:
    assert context.unplaced == count, context.unplaced


@when('a run of {tokens:d} tokens in zone {zone} is copied')
def step_copy(context: Context, tokens: int, zone: str) -> None:
    context.chosen = choose_copy_endpoint(
        candidate_loads(context), tokens, zone, Random(7)
    )


@when('a run of {tokens:d} tokens in zone {zone} gets a backup')
def step_backup(context: Context, tokens: int, zone: str) -> None:
    context.chosen = choose_backup_endpoint(
        candidate_loads(context), tokens, zone, Random(7)
    )


@then('the copy goes to engine {number}')
def step_copied(context: Context, number: str) -> None:
    assert context.chosen.identity == number, context.chosen


@then(
    'runs of 5000, 2000 and 4000 tokens are copied in the order'
    ' 2000, 4000, 5000'
)
def step_order(context: Context) -> None:
    assert order_copies([5000, 2000, 4000], float) == [2000, 4000, 5000]


@given('an endpoint whose last {count:d} answers failed')
def step_failed(context: Context, count: int) -> None:
    context.evidence = FailureEvidence()
    for number in range(count):
        context.evidence.observe(failed=True, now=number / 10)


@then('it is ejected and tried again within {seconds:d} seconds')
def step_ejected(context: Context, seconds: int) -> None:
    assert context.evidence.is_ejected(0.3)
    assert not context.evidence.is_ejected(0.3 + seconds)


@when('{count:d} good answers come')
def step_good(context: Context, count: int) -> None:
    for number in range(count):
        context.evidence.observe(failed=False, now=9 + number / 10)


@then('it is not ejected')
def step_not_ejected(context: Context) -> None:
    assert not context.evidence.is_ejected(10)
