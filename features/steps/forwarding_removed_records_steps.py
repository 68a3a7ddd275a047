"""Steps for records that go while the store turns nodes away, or in outages."""

from dataclasses import dataclass
from uuid import uuid4

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.store import FleetStore
from support.fleet.world import World
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import OpaqueResponse, Request, Response

REMOVED = 'i-0'
#: Interval at which endpoints renew their records, in seconds.
RENEW_SECONDS = 1.2
#: Time for which the trouble lasts before the record is removed, and for which
#: calls are sent after it, in seconds.
TROUBLE_SECONDS = 2
WATCHED_SECONDS = 6
#: Time between two calls, in seconds.
PAUSE_SECONDS = 0.05
OK = 200


@dataclass
class SelectiveStore:
    """The store for one node: turns `turned_away` of `out_of` calls away."""

    store: FleetStore
    turned_away: int
    out_of: int
    how: str
    calls: int = 0

    async def answer(self, request: Request) -> Response | OpaqueResponse:
        self.calls += 1
        fails = self.calls % self.out_of < self.turned_away
        mode = self.how if fails else ''
        return await self.store.answer_in(mode, request)


@given('endpoints that renew their records')
def step_renewing(context: Context) -> None:
    context.lapsed = set()

    async def start(world: World) -> None:
        renewing = await curio.spawn(renew, context, world, daemon=True)
        world.tasks.append(renewing)
        await curio.sleep(2 * RENEW_SECONDS)

    context.prepare.append(start)


async def renew(context: Context, world: World) -> None:
    while True:
        for identity in world.runners:
            if identity not in context.lapsed:
                world.register(identity, 'plain')
        await curio.sleep(RENEW_SECONDS)


def turn_away(
    world: World, nodes: list[str], turned_away: int, out_of: int, how: str
) -> None:
    """Turn some of the calls of nodes to the store away from now on."""
    for name in nodes:
        selective = SelectiveStore(world.store, turned_away, out_of, how)
        world.store_answers[name] = selective.answer


@when(
    'the store turns {turned_away:d} of {out_of:d} calls of {which} away'
    ' ({how}) and a record is removed'
)
def step_removed(
    context: Context, turned_away: int, out_of: int, which: str, how: str
) -> None:
    async def scenario(world: World) -> None:
        hubs = list(world.nodes['n-0'].fleet.hub_choice.names)
        others = [name for name in world.nodes if name not in hubs]
        chosen = hubs if which == 'the hubs' else hubs[:1]
        turn_away(world, chosen, turned_away, out_of, how)
        calling = await curio.spawn(call_all, context, world, others)
        await curio.sleep(TROUBLE_SECONDS)
        await remove_record(context, world)
        await calling.cancel()

    run(context, scenario)


@when('another node starts and a record is removed as soon as it is ready')
def step_started(context: Context) -> None:
    async def scenario(world: World) -> None:
        node = await world.add_node('n-new')
        await world.until(node.is_ready)
        calling = await curio.spawn(call_all, context, world, ['n-new'])
        runner = world.runners[REMOVED]
        await world.until(lambda: bool(runner.arrived_at))
        await remove_record(context, world)
        await calling.cancel()

    run(context, scenario)


@when('all hubs are killed and {seconds:g} seconds later a record is removed')
def step_hubs_killed(context: Context, seconds: float) -> None:
    async def scenario(world: World) -> None:
        hubs = world.nodes['n-0'].fleet.hub_choice.names
        killed = [world.nodes.pop(name) for name in tuple(hubs)]
        calling = await curio.spawn(call_all, context, world, list(world.nodes))
        await curio.sleep(1)
        for node in killed:
            await world.kill(node)
        await curio.sleep(seconds)
        await remove_record(context, world)
        await calling.cancel()

    run(context, scenario)


async def remove_record(context: Context, world: World) -> None:
    """Remove a record; collect when its endpoint is called until later."""
    context.lapsed.add(REMOVED)
    world.store.drop(f'servers/{REMOVED}')
    context.removed_at = boot_seconds()
    await curio.sleep(WATCHED_SECONDS)
    context.arrived_at = list(world.runners[REMOVED].arrived_at)


async def call_all(context: Context, world: World, nodes: list[str]) -> None:
    """Call nodes in turn until cancelled; collect the statuses."""
    context.statuses = []
    while True:
        for node in nodes:
            attempt = f'at-{uuid4().hex}'
            answer = await world.ask(node, '/read/a', attempt)
            context.statuses.append(answer.status)
            await curio.sleep(PAUSE_SECONDS)


@then(
    'the other nodes send the endpoint nothing later than {seconds:g} seconds'
    ' after that'
)
def step_no_late(context: Context, seconds: float) -> None:
    delays = [at - context.removed_at for at in context.arrived_at]
    assert min(delays) < 0, 'the endpoint was never called'
    late = [round(delay, 2) for delay in delays if delay > seconds]
    assert not late, late


@when(
    'all records lapse in an outage of {outage:g} seconds ({how}) and are'
    ' renewed {later:g} seconds after it'
)
def step_lapsed(
    context: Context, outage: float, how: str, later: float
) -> None:
    async def scenario(world: World) -> None:
        calling = await curio.spawn(call_all, context, world, list(world.nodes))
        context.lapsed.update(world.runners)
        world.store.mode = how
        await curio.sleep(outage)
        for identity in world.runners:
            world.store.drop(f'servers/{identity}')
        world.store.mode = ''
        await curio.sleep(later)
        context.lapsed.clear()
        await curio.sleep(2 * RENEW_SECONDS)
        await calling.cancel()

    run(context, scenario)


@then('every call was served')
def step_all_served(context: Context) -> None:
    assert context.statuses, 'no call was made'
    assert set(context.statuses) == {OK}, context.statuses
