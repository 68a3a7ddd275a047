"""Steps for the backlog that delays a new request."""

from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.fair_queue import FairQueue, QueueEntry

BOOKING = QueueEntry('b', 'booking', 'kranj', 1, 1, 10, 20)


@given('a fair queue with {count:d} waiting reports of {tokens:d} tokens')
def step_queue(context: Context, count: int, tokens: int) -> None:
    context.queue = FairQueue()
    for index in range(count):
        entry = QueueEntry(f'r{index}', 'report', 'kranj', 1, tokens, 0, 100)
        context.queue.push(entry, 1)


@when('the tokens ahead of a booking are asked for')
def step_ask(context: Context) -> None:
    competing_products = frozenset(('booking', 'history'))
    context.among_competing = context.queue.tokens_ahead(
        BOOKING, competing_products
    )
    context.among_all = context.queue.tokens_ahead(BOOKING)


@then('none are ahead among the products of its pools')
def step_none(context: Context) -> None:
    assert context.among_competing == 0


@then('some are ahead among all products')
def step_some(context: Context) -> None:
    assert context.among_all > 0
