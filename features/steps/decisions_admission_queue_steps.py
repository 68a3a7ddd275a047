"""Steps for the admission queue."""

from dataclasses import replace
from functools import partial

from behave import given, then, when
from behave.runner import Context

from support.admission_replay import LONG, SHORT, TIGHT, Replay, share
from turmericyard_decisions.admission_queue import (
    QueuedRequest,
    create_admission_queue,
)
from turmericyard_decisions.queue_demand import QueueDemand
from turmericyard_decisions.returning_requests import ReturningRequests
from turmericyard_decisions.urgent_reserve import reserve_for

KINDS = {'long': LONG, 'tight': TIGHT}
SHORT_RATE = 15
BURST, SHORT_BURST, END = 15, 21, 27
HELD_SHARE = 1 / 8


def read_request(text: str) -> QueuedRequest:
    name, workspace, priority, left, *flags = text.split(':')
    return QueuedRequest(
        'n', name, workspace, 'r', (int(priority), 0), 1000,
        float(left), 60, 'returned' in flags,
    )  # fmt: skip


@given('waiting requests {requests}')
def step_waiting(context: Context, requests: str) -> None:
    context.queue = create_admission_queue()
    for text in requests.split():
        context.queue.add(read_request(text), 0)


@then('they are served in the order {order}')
def step_order(context: Context, order: str) -> None:
    found = [request.attempt for request in context.queue.in_order(0)]
    assert found == order.split(), found


def bursts(kind, rate, factor, now):
    """Return the rates of a burst of long requests, then of short ones."""
    long = rate * (factor if BURST <= now < SHORT_BURST else 1)
    short = SHORT_RATE * (1.7 if SHORT_BURST <= now < END else 1)
    return {kind: long, SHORT: short}


@given(
    'the load of {rate:g} "{kind}" generations a second with a burst of'
    ' {factor:g} times'
)
def step_burst(context: Context, rate: float, kind: str, factor: float) -> None:
    context.kind = KINDS[kind]
    rates = partial(bursts, context.kind, rate, factor)
    context.create = partial(Replay, rates=rates, seconds=48)


@given(
    'the load of {rate:g} "long" generations a second of which "{name}" sends'
    ' more later'
)
def step_flood(context: Context, rate: float, name: str) -> None:
    own = 5 if name == 'w-0' else 1

    def rates(now):
        more = 6.5 * own / 36 if now >= BURST else 0
        return {LONG: rate * (1 + more), SHORT: SHORT_RATE}

    context.create = partial(Replay, rates=rates, floods={name: 7.5})


@given(
    'the load of {rate:g} "long" generations a second beside {urgent:g} urgent'
    ' ones of {seconds:g} s'
)
def step_masses(
    context: Context, rate: float, urgent: float, seconds: float
) -> None:
    context.kind = LONG
    kind = replace(SHORT, seconds=seconds)
    context.create = partial(Replay, rates=lambda _: {LONG: rate, kind: urgent})


@when('it is replayed with the seeds 1 and 2')
def step_replay(context: Context) -> None:
    context.replays = [context.create(seed).play() for seed in (1, 2)]


def select(context: Context, kind: str):
    return [each for replay in context.replays for each in replay.select(kind)]


def is_placed(outcome) -> bool:
    return outcome.placed is not None


def is_on_time(outcome) -> bool:
    return outcome.on_time


@then('at least {least:g} of the short requests are placed on time')
def step_short(context: Context, least: float) -> None:
    found = share(select(context, 'short'), is_on_time)
    assert found >= least, found


@then('at least {least:g} of the long ones are placed on time')
def step_long(context: Context, least: float) -> None:
    found = share(select(context, context.kind.name), is_on_time)
    assert found >= least, found


@then('at least {least:g} of the long ones are placed')
def step_placed(context: Context, least: float) -> None:
    found = share(select(context, context.kind.name), is_placed)
    assert found >= least, found


@then(
    'at most {most:g} of the long ones are refused after an eighth of their'
    ' target'
)
def step_held(context: Context, most: float) -> None:
    found = share(
        select(context, context.kind.name),
        lambda each: (
            each.refused is not None
            and each.held > each.kind.target * HELD_SHARE
        ),
    )
    assert found <= most, found


@then('the largest tenth and the next fifth are placed at least half as often')
def step_large(context: Context) -> None:
    found = select(context, context.kind.name)
    found.sort(key=lambda each: each.request.tokens)
    tenth = len(found) // 10
    usual = share(found, is_placed)
    for large in (found[-tenth:], found[-3 * tenth : -tenth]):
        assert share(large, is_placed) >= usual / 2, (
            share(large, is_placed),
            usual,
        )


@then('engines are filled to at least {least:g} during the burst')
def step_filled(context: Context, least: float) -> None:
    for replay in context.replays:
        fill = [part for at, part in replay.fill if BURST + 2 <= at < END]
        assert sum(fill) / len(fill) >= least, sum(fill) / len(fill)


@then(
    'the requests of other workspaces are on time at least {least:g} of the'
    ' time'
)
def step_others(context: Context, least: float) -> None:
    (name,) = context.replays[0].floods
    others = [
        each
        for each in select(context, 'long')
        if each.request.workspace != name
    ]
    assert share(others, is_on_time) >= least, share(others, is_on_time)


@then('workspace "{name}" gets at least what it got before')
def step_own(context: Context, name: str) -> None:
    for replay in context.replays:
        counts = [
            sum(
                is_placed(each)
                for each in replay.select('long', since, since + 10)
                if each.request.workspace == name
            )
            for since in (5, 18)
        ]
        assert counts[1] >= counts[0], counts


@given(
    'urgent requests of {tokens:d} tokens that arrive {rate:d} times a second'
    ' and run for {seconds:g} seconds'
)
def step_urgent(
    context: Context, tokens: int, rate: int, seconds: float
) -> None:
    context.demand = QueueDemand(0)
    context.now = 40
    for number in range(context.now * rate):
        request = QueuedRequest(
            'n', str(number), 'x', 'r', (0, 0), tokens, 0, 0
        )
        context.demand.record_arrival(request, number / rate)
        context.demand.record_place(request)
        context.demand.record_end(request, seconds, number / rate)


@then('{places:d} places of {tokens:d} tokens are kept free from less urgent'
      ' requests')  # fmt: skip
def step_kept(context: Context, places: int, tokens: int) -> None:
    found = reserve_for(context.demand, (2, 0), context.now)
    assert (found.places, found.tokens) == (places, tokens), found


@then('none is kept free from equally urgent ones')
def step_not_kept(context: Context) -> None:
    assert reserve_for(context.demand, (0, 0), context.now).places == 0


@given('a refused request that may come back after {seconds:g} seconds')
def step_refused(context: Context, seconds: float) -> None:
    context.returning = ReturningRequests()
    request = read_request('a:x:2:1')
    assert context.returning.reserve(request, seconds, 0)


@when('a request of workspace "{workspace}" comes after {seconds:g} seconds')
def step_comes(context: Context, workspace: str, seconds: float) -> None:
    context.claimed = context.returning.claim(workspace, 'r', seconds)


@then('it has its turn')
def step_turn(context: Context) -> None:
    assert context.claimed
    assert not context.returning.claim('x', 'r', 2.2), 'claimed twice'


@then('it counts as a new one')
def step_new(context: Context) -> None:
    assert not context.claimed
