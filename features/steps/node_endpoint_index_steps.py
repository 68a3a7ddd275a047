"""Steps for the index of owned endpoints."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from turmericyard_bench.costs.tables import (
    TableSize,
    pools_table,
    routes_table,
)
from turmericyard_decisions.loan import Holder
from turmericyard_decisions.share import share_slots
from turmericyard_decisions.view import create_view, find_owner, move_slots
from turmericyard_node.endpoint_index import EndpointIndex
from turmericyard_tables.build import build_configuration
from turmericyard_tables.ini import parse_tables

OWN = 'node-0'
SEED = 3


class Permits:
    """Looks up owners as the permit service does, and counts the look-ups."""

    def __init__(self, application: Any, view: Any, live: set[str]) -> None:
        self.application = application
        self.views = SimpleNamespace(current=view)
        self.live = live
        self.lookups = 0

    def owns(self, name: str) -> bool:
        self.lookups += 1
        row = self.application.configuration.current.endpoints[name]
        slots = share_slots(row.address)
        return find_owner(self.views.current, slots, self.live) == OWN


@given('an index over {endpoints:d} endpoints and {nodes:d} nodes')
def step_index(context: Context, endpoints: int, nodes: int) -> None:
    size = TableSize(endpoints)
    rows = parse_tables(routes_table(size), pools_table(size)).unwrap()
    built = build_configuration(rows, zones_out={}, vms_out={}, revision=1)
    context.holders = [Holder(f'node-{n}', 'i') for n in range(nodes)]
    application = SimpleNamespace(
        configuration=SimpleNamespace(current=built.unwrap()),
        identity=SimpleNamespace(node=OWN),
    )
    live = {holder.node for holder in context.holders}
    view = create_view(context.holders)
    application.permits = Permits(application, view, live)
    context.application = application
    context.index = EndpointIndex(application)


def change(context: Context, source: Random) -> None:
    application = context.application
    permits = application.permits
    kind = source.randrange(3)
    if kind == 0:
        permits.live = permits.live ^ {source.choice(context.holders).node}
    elif kind == 1:
        moves = {source.randrange(1024): source.choice(context.holders)}
        permits.views.current = move_slots(permits.views.current, moves)
    else:
        current = application.configuration.current
        rows = dict(current.endpoints)
        rows.pop(source.choice(list(rows)))
        application.configuration.current = replace(current, endpoints=rows)


@when('nodes come and go, slots move and rows change {count:d} times')
def step_change(context: Context, count: int) -> None:
    source = Random(SEED)
    context.seen = []
    for _ in range(count):
        change(context, source)
        found = [row.name for row in context.index.owned()]
        permits = context.application.permits
        rows = context.application.configuration.current.endpoints
        context.seen.append((found, [n for n in rows if permits.owns(n)]))


@then('each time the index had exactly the owned endpoints')
def step_same(context: Context) -> None:
    assert any(expected for _, expected in context.seen)
    for found, expected in context.seen:
        assert found == expected


@when('the owned endpoints are asked for {count:d} times')
def step_ask(context: Context, count: int) -> None:
    context.lookups = []
    for _ in range(count):
        context.application.permits.lookups = 0
        context.index.owned()
        context.lookups.append(context.application.permits.lookups)


@then('each time the index looked up at most one owner for each shared row')
def step_few(context: Context) -> None:
    view = context.application.permits.views.current
    rows = context.application.configuration.current.endpoints.values()
    shared = sum(
        any(view.slots[s].holder.node == OWN for s in share_slots(row.address))
        for row in rows
    )
    assert 0 < shared < len(rows) / 2
    assert max(context.lookups) <= shared, context.lookups
