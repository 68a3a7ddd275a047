"""Steps for the choice of an endpoint and cache hints."""

from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.placement import (
    Candidate,
    Demand,
    Obstacle,
    choose_endpoint,
)
from turmericyard_decisions.prefix_index import (
    CacheEvent,
    CacheEventKind,
    PrefixIndex,
)


@given('these endpoints')
def step_endpoints(context: Context) -> None:
    context.candidates = [
        Candidate(
            row['name'],
            row['zone'],
            int(row['capacity']),
            int(row['running']),
            10000,
            float(row['headroom']),
            int(row['prefix']),
            Obstacle[row['obstacle']] if row['obstacle'] else None,
        )
        for row in context.table
    ]


@when('a prompt of {tokens:d} tokens is placed from zone "{zone}"')
def step_place(context: Context, tokens: int, zone: str) -> None:
    demand = Demand(zone, tokens, 500)
    context.placement = choose_endpoint(context.candidates, demand)


@then('endpoint "{name}" is chosen')
def step_chosen(context: Context, name: str) -> None:
    assert context.placement.endpoint == name, context.placement


@then('no endpoint is chosen')
def step_none(context: Context) -> None:
    assert context.placement.endpoint is None


@then('the reasons are "{reasons}"')
def step_reasons(context: Context, reasons: str) -> None:
    seen = ', '.join(
        f'{one.endpoint} {one.obstacle.name}'
        for one in context.placement.passed
    )
    assert seen == reasons, seen


@given('cache events 1 to 3 stored prefixes "p1", "p2" and "p3"')
def step_events(context: Context) -> None:
    context.prefixes = PrefixIndex()
    events = [
        CacheEvent(number, CacheEventKind.STORED, f'p{number}')
        for number in (1, 2, 3)
    ]
    assert context.prefixes.observe('e', events, 0)


@when('the next cache event is number {number:d}')
def step_gap(context: Context, number: int) -> None:
    event = CacheEvent(number, CacheEventKind.STORED, 'later')
    assert not context.prefixes.observe('e', [event], 1)


@then('the endpoint holds "{prefix}"')
def step_prefix(context: Context, prefix: str) -> None:
    assert context.prefixes.holds('e', prefix, 1)


@then('the endpoint doesn\'t hold "{prefix}"')
def step_no_prefix(context: Context, prefix: str) -> None:
    assert not context.prefixes.holds('e', prefix, 1)
