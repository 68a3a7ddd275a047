"""Steps for the updates of a hub."""

import json
from dataclasses import dataclass, field, replace
from functools import partial

import curio
from behave import then, when
from behave.runner import Context
from returns.result import Failure, Result, Success

from steps.forwarding_knowledge_steps import has_version, logged
from support.fleet.scenario import run
from support.fleet.world import World, manifest
from turmericyard_decisions.strikes import Strike
from turmericyard_http.clock import boot_seconds
from turmericyard_node.events import Event
from turmericyard_node.forwarding.findings import create_findings
from turmericyard_node.forwarding.hub_choice import HubReport
from turmericyard_protocol.codec import decode
from turmericyard_protocol.errors import PeerUnreachable
from turmericyard_protocol.fleet_messages import HubUpdate, StoreItem

HUB = 'n-hub'
NODE = 'n-1'
#: Event loop iterations after which a task that was woken has run.
LOOP_ITERATIONS = 20
FIRST_SEQUENCE = 10
KILOBYTE = 1024
LARGE_VERSIONS = (5, 6, 7)


def create_update(
    sequence: int, revision: int, items: tuple[StoreItem, ...] = ()
) -> HubUpdate:
    return HubUpdate(sequence, False, (), None, revision, 0, False, items)


def leaving_item(world: World, identity: str, revision: int) -> StoreItem:
    key = f'servers/{identity}'
    record = json.loads(world.nodes['n-0'].platform_state.view.items[key].value)
    changed = json.dumps({**record, 'state': 'draining'}).encode()
    return StoreItem(key, changed, revision)


def known_leaving(world: World) -> set[str]:
    endpoints = world.nodes['n-0'].platform_state.registry.endpoints.values()
    return {
        each.identity for each in endpoints if each.leaving_since is not None
    }


@when(
    'a hub reports that one endpoint leaves, answers an earlier heartbeat and'
    ' reports the other'
)
def step_crossed(context: Context) -> None:
    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        revision = fleet.platform_state.view.revision
        fleet.hub_choice.reports[HUB] = HubReport(sequence=FIRST_SEQUENCE)
        for number, identity in enumerate(world.runners, 1):
            item = leaving_item(world, identity, revision + number)
            update = create_update(
                FIRST_SEQUENCE + number, item.revision, (item,)
            )
            await fleet.apply_update(HUB, update)
            await fleet.apply_update(HUB, create_update(FIRST_SEQUENCE, 0))
        context.known = known_leaving(world)

    run(context, scenario)


@then('the node knows at once that both endpoints leave')
def step_both_known(context: Context) -> None:
    assert context.known == set(context.world.runners), context.known


@when(
    "a hub's update on one endpoint is lost and the next reports that the other"
    ' leaves'
)
def step_missed(context: Context) -> None:
    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        revision = fleet.platform_state.view.revision
        fleet.hub_choice.reports[HUB] = HubReport(sequence=FIRST_SEQUENCE)
        context.other = list(world.runners)[1]
        item = leaving_item(world, context.other, revision + 2)
        update = create_update(FIRST_SEQUENCE + 2, item.revision, (item,))
        await fleet.apply_update(HUB, update)
        context.known = known_leaving(world)
        context.view_revision = fleet.platform_state.view.revision
        context.revision = revision
        context.heartbeat = fleet.create_heartbeat(HUB)

    run(context, scenario)


@then('the node knows at once that the other endpoint leaves')
def step_other_known(context: Context) -> None:
    assert context.known == {context.other}, context.known
    assert context.view_revision == context.revision


@then('its next heartbeat requests the full state')
def step_requests_all(context: Context) -> None:
    assert context.heartbeat.sequence == 0


@dataclass
class RecordingMesh:
    """Records the updates that a hub sends; fails without an address."""

    sent: list[HubUpdate] = field(default_factory=list)
    frames: list[bytes] = field(default_factory=list)
    has_address: bool = True

    async def send_frame(
        self, node: str, frame: bytes
    ) -> Result[None, PeerUnreachable]:
        if not self.has_address:
            return Failure(PeerUnreachable(node))
        self.frames.append(frame)
        self.sent.append(decode(frame).unwrap().payload)
        return Success(None)


async def report_both(world: World, mesh: RecordingMesh) -> None:
    """Let a hub without periodic updates find a strike, then a leaving sign."""
    fleet = world.nodes['n-0'].fleet
    hub = replace(
        fleet.hub,
        mesh=mesh,
        findings=create_findings(fleet.platform_state, fleet.clock),
        last_heartbeats={NODE: (fleet.clock(), fleet.create_heartbeat(HUB))},
    )
    task = await curio.spawn(hub.run_news)
    struck = hub.findings.strikes.record_strike(Strike(b'mark'))
    await hub.findings.report_strikes((struck,))
    await run_loop()
    mesh.has_address = True
    endpoint = next(iter(fleet.platform_state.registry.endpoints.values()))
    await hub.findings.report_leaving(endpoint)
    await run_loop()
    await task.cancel()


async def run_loop() -> None:
    for _ in range(LOOP_ITERATIONS):
        await curio.sleep(0)


@when('a hub without periodic updates finds a strike and a leaving endpoint')
def step_own_findings(context: Context) -> None:
    context.mesh = RecordingMesh()
    run(context, partial(report_both, mesh=context.mesh))


@then('the nodes that send it heartbeats receive both')
def step_received_findings(context: Context) -> None:
    received = [update.findings for update in context.mesh.sent]
    assert [len(each.strikes) for each in received] == [1, 0], received
    assert [len(each.leaving) for each in received] == [0, 1], received


@when(
    "a hub finds a strike before it knows a node's address and a leaving"
    ' endpoint afterwards'
)
def step_no_address(context: Context) -> None:
    context.mesh = RecordingMesh(has_address=False)
    run(context, partial(report_both, mesh=context.mesh))


@then('that node receives both without a further heartbeat')
def step_received_missed(context: Context) -> None:
    [update] = context.mesh.sent
    assert update.whole
    assert len(update.findings.strikes) == 1, update
    assert len(update.findings.leaving) == 1, update


@when(
    'a hub that receives heartbeats of {count:d} nodes reports a leaving'
    ' endpoint'
)
def step_many(context: Context, count: int) -> None:
    context.mesh = RecordingMesh()

    async def scenario(world: World) -> None:
        fleet = world.nodes['n-0'].fleet
        heartbeat = (fleet.clock(), fleet.create_heartbeat(HUB))
        hub = replace(
            fleet.hub,
            mesh=context.mesh,
            findings=create_findings(fleet.platform_state, fleet.clock),
            last_heartbeats={
                f'node-{number}': heartbeat for number in range(count)
            },
        )
        endpoint = next(iter(fleet.platform_state.registry.endpoints.values()))
        await hub.findings.report_leaving(endpoint)
        await hub.send_changes()

    run(context, scenario)


@then('{count:d} nodes receive the same encoded update')
def step_same(context: Context, count: int) -> None:
    assert len(context.mesh.frames) == count
    assert len({id(frame) for frame in context.mesh.frames}) == 1


@when(
    'three versions of a configuration of {kilobytes:d} KB are written at the'
    ' same moment'
)
def step_large(context: Context, kilobytes: int) -> None:
    async def scenario(world: World) -> None:
        filling = 'x' * (kilobytes * KILOBYTE)
        for version in LARGE_VERSIONS:
            world.store.put('op/config', manifest(version, note=filling))
        began = boot_seconds()
        for node in world.nodes.values():
            await world.until(
                partial(has_version, node, max(LARGE_VERSIONS)), 5
            )
        context.took = boot_seconds() - began

    context.malformed = []
    with logged(Event.PEER_MALFORMED, context.malformed):
        run(context, scenario)


@then(
    'every node has the last one within {seconds:d} seconds and no link was'
    ' closed'
)
def step_has_last(context: Context, seconds: int) -> None:
    assert context.took <= seconds, context.took
    assert not context.malformed, context.malformed
