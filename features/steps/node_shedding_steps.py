"""Steps for the refusal of work that can't be placed in time."""

from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from turmericyard_node.dispatcher import Dispatcher, QueuedWork
from turmericyard_node.work import Work
from turmericyard_tables.models import Route, WorkKind

ROUTE = Route('booking', WorkKind.SERVICE, ('services',), 4)
PLENTY = 1000


def create_dispatcher() -> Dispatcher:
    limits = SimpleNamespace(queued_requests=PLENTY)
    application: Any = SimpleNamespace(
        settings=SimpleNamespace(limits=limits),
        configuration=SimpleNamespace(
            current=SimpleNamespace(routes={'booking': ROUTE})
        ),
    )
    return Dispatcher(application, SimpleNamespace())


def booking(number: int, deadline_at: float) -> Work:
    return Work(f'r-{number}', ROUTE, 'w', 1, frozenset(), 0, deadline_at)


@given('a node that placed {count:d} booking a second for {seconds:d} seconds')
def step_placed(context: Context, count: int, seconds: int) -> None:
    context.dispatcher = create_dispatcher()
    context.now = 0.0
    for second in range(seconds * count):
        context.now = second / count
        work = booking(second, context.now + 4)
        assert context.dispatcher.check_admission(work, context.now) is None
        rate = context.dispatcher.rates[ROUTE.pools]
        rate.observe(context.now, work.expected_tokens)


def burst(context: Context, count: int, left: float) -> None:
    """Submit bookings at one moment, as when claims are committed together."""
    context.refusals = []
    for number in range(count):
        work = booking(number, context.now + left)
        refusal = context.dispatcher.check_admission(work, context.now)
        context.refusals.append(refusal)
        if refusal is None:
            queued = QueuedWork(work, work.entry(context.now))
            context.dispatcher.queue.push(queued.entry, work.weight)


@when(
    '{count:d} bookings with {left:d} seconds left come at once after'
    ' {idle:d} idle seconds'
)
def step_burst(context: Context, count: int, left: int, idle: int) -> None:
    context.now += idle
    burst(context, count, left)


@when(
    '{count:d} bookings with {left:d} seconds left come at once after'
    ' another one'
)
def step_behind(context: Context, count: int, left: int) -> None:
    context.now += 0.1
    entry = booking(PLENTY, context.now + left).entry(context.now)
    context.dispatcher.queue.push(entry, 1)
    burst(context, count, left)


@then('all of them are queued')
def step_all_queued(context: Context) -> None:
    assert not any(context.refusals), context.refusals


@then(
    'the first {count:d} of them are queued and the others refused as "{kind}"'
)
def step_some_queued(context: Context, count: int, kind: str) -> None:
    kinds = [each and each.kind for each in context.refusals]
    refused = len(kinds) - count
    assert kinds == [None] * count + [kind] * refused, kinds
