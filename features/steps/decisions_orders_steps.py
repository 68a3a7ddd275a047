"""Steps for orders to engines."""

from behave import given, then
from behave.runner import Context

from turmericyard_decisions.engine_orders import (
    EngineState,
    OrderKind,
    OrderTerm,
    plan_orders,
)
from turmericyard_tables.models import Pool, WorkKind


def set_up(context: Context, states: list[EngineState], checks: bool) -> None:
    context.pool = Pool(
        'models',
        ('reports',),
        WorkKind.GENERATION,
        1,
        8,
        model='m',
        version='2',
        checks_fencing=checks,
    )
    context.states = states
    context.term = OrderTerm(7, 100)


def engine(name: str, model: str, version: str, loading=False) -> EngineState:
    return EngineState(name, model, version, frozenset(), 'serve', loading)


def orders_at(context: Context, now: float, last: float | None = None):
    return plan_orders(context.pool, context.states, context.term, now, last)


@given('a pool of 3 engines without a model')
def step_empty(context: Context) -> None:
    states = [engine(name, '', '') for name in 'abc']
    set_up(context, states, checks=True)


@given('a pool of 3 engines without a model that ignore fencing')
def step_ignoring(context: Context) -> None:
    states = [engine(name, '', '') for name in 'abc']
    set_up(context, states, checks=False)


@given('a pool of 2 engines of which one loads a version')
def step_loading(context: Context) -> None:
    states = [engine('a', 'm', '1', True), engine('b', 'm', '1')]
    set_up(context, states, checks=True)


@given('a pool of 3 engines in the state of the table')
def step_done(context: Context) -> None:
    set_up(context, [engine(name, 'm', '2') for name in 'abc'], checks=True)


@then('the orders at second {second:d} load 1 model')
def step_one(context: Context, second: int) -> None:
    orders = orders_at(context, second)
    assert [order.kind for order in orders] == [OrderKind.LOAD_MODEL]
    assert orders[0].fencing == 7
    assert orders[0].expires_at > second


@then('no load is ordered within 5 seconds of the last')
def step_spaced(context: Context) -> None:
    assert not orders_at(context, 104, last=100)
    assert orders_at(context, 105, last=100)


@then('no order is given within 10 seconds of a new term')
def step_waits(context: Context) -> None:
    assert not orders_at(context, 109)


@then('no load is ordered at second {second:d}')
@then('there is no order at second {second:d}')
def step_none(context: Context, second: int) -> None:
    assert not orders_at(context, second)
