"""Steps for network partitions between nodes, over processes."""

import re
import time
from collections import Counter
from http.client import HTTPConnection
from urllib.parse import quote

from behave import given, then, when
from behave.runner import Context

from support.runs import REPORT, WAIT_SECONDS, Run, ask, start_run
from turmericyard_bench.caller import Caller
from turmericyard_bench.deployment import NodeProcess, wait_until
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.peer_links import Way, ways_between
from turmericyard_bench.records import StreamRecord
from turmericyard_bench.transcript import length_word
from turmericyard_decisions.share import SLOT_COUNT
from turmericyard_http.clock import boot_seconds
from turmericyard_node.view_document import decode_view
from turmericyard_node.views import VIEW_KEY

PAUSE_SECONDS = 1
QUOTED = re.compile('"([^"]+)"')


@given('the Vodnik example runs with {nodes:d} nodes and links between them')
def step_linked(context: Context, nodes: int) -> None:
    context.run = start_run(
        context.launcher, 'vodnik', nodes, store_links=True, peer_links=True
    )
    settled = wait_until(lambda: slots_spread(context), WAIT_SECONDS)
    assert settled, owners_by_node(context)


def slots_spread(context: Context) -> bool:
    """Return whether each node holds at least an even part of the slots."""
    if not agreed(context):
        return False
    deployment = context.run.deployment
    stored = HTTPConnection(deployment.store.address)
    stored.request('GET', f'/v1/kv/{quote(VIEW_KEY, safe="")}')
    view = decode_view(stored.getresponse().read())
    stored.close()
    assert view is not None
    held = Counter(slot.holder.node for slot in view.slots)
    even = SLOT_COUNT // len(deployment.nodes)
    return all(held[node] >= even for node in deployment.nodes)


def owners_by_node(context: Context) -> dict[str, dict[str, str]]:
    return {
        node.name: owners(node)
        for node in context.run.deployment.running_nodes()
    }


def owners(node: NodeProcess) -> dict[str, str]:
    return {row['name']: row['owner'] for row in node.status()['endpoints']}


def agreed(context: Context) -> bool:
    """Return whether all nodes reach each other and name the same owners."""
    named = list(owners_by_node(context).values())
    all_reached = all(
        member['live']
        for node in context.run.deployment.running_nodes()
        for member in node.status()['members']
    )
    return all_reached and named[1:] == named[:-1] and all(named[0].values())


@given(
    '{count:d} callers ask all nodes for {number:d} reports'
    ' of {tokens:d} tokens in turn'
)
def step_ask_in_turn(
    context: Context, count: int, number: int, tokens: int
) -> None:
    run: Run = context.run
    for nth in range(count):
        caller = run.caller_at(nth)
        records = [
            StreamRecord(
                f'report-{nth}-{turn}',
                caller.workspace,
                REPORT,
                f'boiler {nth} cistern {turn} {length_word(tokens)}',
            )
            for turn in range(number)
        ]
        run.load.streams.extend(records)
        run.spawn(ask_in_turn, caller, records)


async def ask_in_turn(caller: Caller, records: list[StreamRecord]) -> None:
    for record in records:
        await ask(caller, record)


@when('the links between {sides} are {mode:w}')
def step_split(context: Context, sides: str, mode: str) -> None:
    found = [side.split(', ') for side in QUOTED.findall(sides)]
    context.sides = found
    set_ways(context, ways_between(found), mode)


@when('the links to "{node}" are {mode:w}')
def step_one_way(context: Context, node: str, mode: str) -> None:
    others = [name for name in context.run.deployment.nodes if name != node]
    set_ways(context, [(other, node) for other in others], mode)


def set_ways(context: Context, ways: list[Way], mode: str) -> None:
    time.sleep(PAUSE_SECONDS)
    context.run.deployment.peer_links.set_ways(ways, mode)
    context.split_at = boot_seconds()


@when('node "{node}" of the run is cut off from the store')
def step_cut_store(context: Context, node: str) -> None:
    context.run.deployment.links[node].control(mode='cut')


@then('within {seconds:d} seconds an endpoint has an owner on each side')
def step_owners(context: Context, seconds: int) -> None:
    assert wait_until(lambda: owned_apart(context), seconds), owners_by_node(
        context
    )


def owned_apart(context: Context) -> bool:
    """Return whether the sides name owners of their own.

    No node may name an owner on another side, and all nodes must name an owner
    for at least one endpoint.
    """
    named = owners_by_node(context)
    owners_by_side = [
        {named[node][endpoint] for node in side}
        for endpoint in named['node-1']
        for side in context.sides
    ]
    own = [set(side) for side in context.sides]
    within = all(
        each - {''} <= own[number % len(own)]
        for number, each in enumerate(owners_by_side)
    )
    rows = zip(*[iter(owners_by_side)] * len(own), strict=True)
    return within and any('' not in set().union(*row) for row in rows)


@then('within {seconds:d} seconds node "{node}" is isolated')
def step_isolated(context: Context, seconds: int, node: str) -> None:
    process = context.run.deployment.nodes[node]
    assert wait_until(lambda: process.status()['isolated'], seconds)


@when('the split has lasted {seconds:d} seconds and heals')
def step_heal(context: Context, seconds: int) -> None:
    time.sleep(max(0, context.split_at + seconds - boot_seconds()))
    context.healed_at = boot_seconds()
    deployment = context.run.deployment
    deployment.peer_links.heal()
    for link in deployment.links.values():
        link.control(mode='open')


@then('work began on engines during the split')
def step_work(context: Context) -> None:
    deployment = context.run.deployment
    engines = frozenset(
        each.name for each in deployment.example.endpoints if each.is_engine
    )
    begun = read_ledgers(deployment).work_after(
        engines, context.split_at, context.healed_at
    )
    assert begun, 'no engine got work while the nodes were split'


@then('all nodes name the same owners again')
def step_agree(context: Context) -> None:
    healed = wait_until(lambda: agreed(context), WAIT_SECONDS)
    assert healed, owners_by_node(context)
