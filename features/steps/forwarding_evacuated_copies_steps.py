"""Steps for copies and backups of runs whose zone is closed."""

from collections.abc import Awaitable, Callable

import curio
from behave import given, when
from behave.runner import Context

from support.fleet.scenario import build, run, running, stream
from support.fleet.world import World

ZONES = ('a', 'b', 'c')
EVENTS = 60
#: Time in which news reach the node and a copy is made, in seconds.
SETTLE_SECONDS = 0.4


async def build_zones(world: World, *, backups: bool) -> None:
    await build('engines', len(ZONES), 1, world, backups=backups)
    for identity, zone in zip(world.runners, ZONES, strict=True):
        world.register(identity, 'engines', zone=zone)
    book = world.nodes['n-0'].knowledge.book.endpoints
    await world.until(
        lambda: {each.record.zone for each in book.values()} == set(ZONES)
    )


@given('a world with engines in 3 zones and 1 node')
def step_zones(context: Context) -> None:
    context.build = lambda world: build_zones(world, backups=False)
    context.prepare = []


@given('a world with engines that keep backups in 3 zones and 1 node')
def step_backup_zones(context: Context) -> None:
    context.build = lambda world: build_zones(world, backups=True)
    context.prepare = []


def holders(world: World) -> list[str]:
    return [each for each, one in world.runners.items() if one.copies]


def close_zone_of(world: World, identity: str) -> None:
    zone = ZONES[list(world.runners).index(identity)]
    world.store.put(f'op/evacuate/{zone}', {})


def leave(world: World, identity: str) -> None:
    zone = ZONES[list(world.runners).index(identity)]
    world.register(identity, 'engines', 'draining', zone=zone)


async def end_after(
    context: Context,
    world: World,
    changes: Callable[[str], Awaitable[None]],
) -> None:
    """Let a run's engine end after some changes, and keep the answer."""
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

        await end_after(context, world, changes)

    run(context, scenario)


@when('the zone of a backup is closed and the engine of its run leaves')
def step_backup_zone(context: Context) -> None:
    async def scenario(world: World) -> None:
        async def changes(source: str) -> None:
            close_zone_of(world, holders(world)[0])
            await curio.sleep(SETTLE_SECONDS)
            leave(world, source)

        await end_after(context, world, changes)

    run(context, scenario)
