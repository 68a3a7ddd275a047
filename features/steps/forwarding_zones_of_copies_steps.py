"""Steps for the zones of the copies and backups of runs."""

from collections.abc import Awaitable, Callable
from functools import partial

import curio
from behave import given, when
from behave.runner import Context

from support.fleet.scenario import build, run, running, stream
from support.fleet.world import World

EVENTS = 60
#: Time in which changes reach the node and a copy is made, in seconds.
SETTLE_SECONDS = 0.4


async def build_zones(zones: list[str], world: World, *, backups: bool) -> None:
    await build('engines', len(zones), 1, world, backups=backups)
    for identity, zone in zip(world.runners, zones, strict=True):
        world.register(identity, 'engines', zone=zone)
    await world.until(
        lambda: [zone_of(world, each) for each in world.runners] == zones
    )


def zone_of(world: World, identity: str) -> str:
    registry = world.nodes['n-0'].platform_state.registry
    return registry.endpoints[identity].record.zone


@given('a world with engines in the zones "{zones}" and 1 node')
def step_zones(context: Context, zones: str) -> None:
    context.build = partial(build_zones, zones.split(), backups=False)
    context.prepare = []


@given(
    'a world with engines that keep backups in the zones "{zones}" and 1 node'
)
def step_backup_zones(context: Context, zones: str) -> None:
    context.build = partial(build_zones, zones.split(), backups=True)
    context.prepare = []


def holders(world: World) -> list[str]:
    return [each for each, one in world.runners.items() if one.copies]


def close_zone_of(world: World, identity: str) -> None:
    world.store.put(f'op/evacuate/{zone_of(world, identity)}', {})


def leave(world: World, identity: str) -> None:
    zone = zone_of(world, identity)
    world.register(identity, 'engines', 'draining', zone=zone)


async def end_engine_after(
    context: Context,
    world: World,
    changes: Callable[[str], Awaitable[None]],
) -> None:
    """End the engine of a run after some changes and keep the answer."""
    asking = await stream(world, EVENTS)
    source = running(world)[0]
    await changes(source)
    await curio.sleep(SETTLE_SECONDS)
    await world.end_runner(source)
    context.answer = await asking.join()


@when('the zone of a copy is closed before the engine of its run ends')
def step_copy_zone(context: Context) -> None:
    async def scenario(world: World) -> None:
        async def changes(source: str) -> None:
            leave(world, source)
            await world.until(lambda: bool(holders(world)))
            close_zone_of(world, holders(world)[0])

        await end_engine_after(context, world, changes)

    run(context, scenario)


@when('the zone of a backup is closed and the engine of its run leaves')
def step_backup_zone(context: Context) -> None:
    async def scenario(world: World) -> None:
        async def changes(source: str) -> None:
            close_zone_of(world, holders(world)[0])
            await curio.sleep(SETTLE_SECONDS)
            leave(world, source)

        await end_engine_after(context, world, changes)

    run(context, scenario)


@when('all engines in the zone of a run die without notice')
def step_zone_dies(context: Context) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, EVENTS)
        zone = zone_of(world, running(world)[0])
        dying = [each for each in world.runners if zone_of(world, each) == zone]
        await end_all(world, dying)
        context.answer = await asking.join()

    run(context, scenario)


@when('all endpoints but the backup of a run die without notice')
def step_others_die(context: Context) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, EVENTS)
        [backup] = holders(world)
        await end_all(world, [each for each in world.runners if each != backup])
        context.answer = await asking.join()

    run(context, scenario)


async def end_all(world: World, identities: list[str]) -> None:
    """End runners at once."""
    async with curio.TaskGroup() as group:
        for identity in identities:
            await group.spawn(world.end_runner, identity)
