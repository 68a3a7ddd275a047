"""What the steps of forwarding share: building and playing a world."""

from functools import partial
from typing import Any

import curio
from behave.runner import Context

from support.fleet.world import World, manifest, play


async def build(
    service: str, count: int, nodes: int, world: World, *, backups: bool = False
) -> None:
    if backups:
        world.store.put('op/config', manifest(2, backups=True))
    for number in range(count):
        await world.add_runner(f'i-{number}', service)
    for number in range(nodes):
        await world.add_node(f'n-{number}')
    await world.ready()


def run(context: Context, scenario: Any) -> None:
    """Build the world, apply the faults and play the scenario.

    `context.afterwards`, if a step set it, runs before the world is closed.
    """

    async def whole(world: World) -> None:
        context.world = world
        await context.build(world)
        for prepare in context.prepare:
            await prepare(world)
        await scenario(world)
        if 'afterwards' in context:
            await context.afterwards(context)

    play(whole)


def all_runs(world: World) -> list[str]:
    return [each for runner in world.runners.values() for each in runner.ran]


def all_cancelled(world: World) -> list[str]:
    return [
        each for runner in world.runners.values() for each in runner.cancelled
    ]


PROMPT = {
    'x_turmericyard_token_count': '2000,400',
    'x_turmericyard_model': 'm',
}


async def stream(world: World, length: int, **asking: Any) -> Any:
    """Start a stream and return its task; `asking` goes to `World.ask`."""
    for runner in world.runners.values():
        runner.length = length
    asking = await curio.spawn(
        partial(world.ask, 'n-0', '/stream/a', 'at-1', **PROMPT, **asking)
    )
    await world.until(lambda: bool(running(world)) or asking.terminated)
    assert not asking.terminated, await asking.join()
    await curio.sleep(0.3)
    return asking


def running(world: World) -> list[str]:
    return [
        identity
        for identity, runner in world.runners.items()
        if runner.runs and not runner.ended
    ]


async def seconds_until(world: World, holds: Any, limit: float) -> float:
    """Return how long it takes until an asynchronous check holds."""
    started = await curio.clock()
    while not await holds():
        took = await curio.clock() - started
        if took > limit:
            return took
        await curio.sleep(0.05)
    return await curio.clock() - started


async def asks(world: World, node: str, target: str, status: int) -> bool:
    number = len(all_runs(world))
    answer = await world.ask(node, target, f'probe-{node}-{number}')
    return answer.status == status
