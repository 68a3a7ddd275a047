"""Steps for what nodes conclude from deaths of engines."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.prefix_index import PrefixIndex
from turmericyard_decisions.quarantine import request_marks
from turmericyard_node.endpoint_deaths import (
    declare_death,
    refuse_if_quarantined,
)
from turmericyard_node.endpoint_state import create_endpoint_state
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.request_policy import RequestPolicy
from turmericyard_protocol.codec import decode, encode
from turmericyard_tables.models import Configuration, Pool, WorkKind

POOL = Pool('p', ('x',), WorkKind.GENERATION, 1, 16, 24_000)
MARKS = request_marks('w', 'key', b'body')
OTHER = request_marks('w', 'other', b'another body')
GAP_SECONDS = 30


@dataclass
class Node:
    """The parts of a node that handle deaths, connected to its peers."""

    now: float = 0
    policy: RequestPolicy = field(default_factory=RequestPolicy)
    peers: list['Node'] = field(default_factory=list)
    candidates: Any = field(
        default_factory=lambda: SimpleNamespace(prefixes=PrefixIndex())
    )

    def clock(self) -> float:
        return self.now

    def quarantine_verdict(self, work: Any) -> Any:
        return self.policy.quarantine_verdict(work, Configuration())

    async def broadcast(self, notice: Any) -> None:
        for peer in self.peers:
            payload = decode(encode(notice)).unwrap().payload
            await handle_message(payload, 'node', peer)

    def declare_dead(self, name: str, restart: str, *marks: Any) -> None:
        """Declare an owned engine dead, with what ran there."""
        state = create_endpoint_state(name, POOL)
        state.restart = restart
        state.marks = {f'work-{name}': each for each in marks}
        curio.run(declare_death, self, state)

    def refuses(self) -> bool:
        route = SimpleNamespace(pools=('p',))
        work = SimpleNamespace(request='r', marks=MARKS, route=route)
        return curio.run(refuse_if_quarantined, self, work)


@given('two nodes know that a request ran on {count:d} engines that died')
def step_deaths(context: Context, count: int) -> None:
    context.nodes = [Node(), Node()]
    context.nodes[0].peers = [context.nodes[1]]
    context.nodes[1].peers = [context.nodes[0]]
    record_deaths(context, count)


@given(
    'two nodes of which the first knows that a request ran on {count:d} engines'
    ' that died'
)
def step_deaths_of_one(context: Context, count: int) -> None:
    context.nodes = [Node(), Node()]
    record_deaths(context, count)
    context.nodes[0].peers = [context.nodes[1]]


def record_deaths(context: Context, count: int) -> None:
    for number in range(count):
        for node in context.nodes:
            node.now = number * GAP_SECONDS
        context.nodes[0].declare_dead(f'e-{number}', 'first', MARKS)


@when('the second node finds an engine dead that it never reached')
def step_never_reached(context: Context) -> None:
    context.nodes[1].declare_dead('e-9', '')


@when('the first node refuses the request')
def step_first(context: Context) -> None:
    assert context.nodes[0].refuses()


@when('the second node finds an engine dead that ran another request')
def step_other(context: Context) -> None:
    context.nodes[1].declare_dead('e-9', 'first', OTHER)


@then('the second node refuses the request')
def step_second(context: Context) -> None:
    assert context.nodes[1].refuses()


@then('both nodes know of the other death')
def step_known(context: Context) -> None:
    for node in context.nodes:
        assert 'e-9:first' in node.policy.quarantine.deaths
