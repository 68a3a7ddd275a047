"""Worlds with an endpoint that answers with given bytes."""

from functools import partial

import curio
from behave.runner import Context

from support.fleet.cuts import REFUSE, watch_links
from support.fleet.raw_server import open_narrow_listener
from support.fleet.scenario import PROMPT, build, run
from support.fleet.scripted import ScriptedRunner
from support.fleet.world import World, manifest

#: Endpoint that works beside the faulty one, where there is one.
WORKING = 'i-1'
TARGETS = {
    'once-only': '/write/a',
    'repeatable': '/read/a',
    'generation': '/stream/a',
    'resumable generation': '/stream/a',
}


def prepare_scripted(
    context: Context,
    service: str,
    what: str,
    *,
    ending: str = 'closes',
    nodes: int = 1,
) -> None:
    async def with_scripted(world: World) -> None:
        await build(service, 1, nodes, world)
        listener, address = open_narrow_listener()
        context.scripted = ScriptedRunner(what, ending)
        await context.scripted.answering.set()
        serving = await curio.spawn(context.scripted.serve, listener)
        world.tasks.append(serving)
        world.runners['i-0'].address = address
        world.register('i-0', service)
        for node in world.nodes.values():
            endpoints = node.platform_state.registry.endpoints
            await world.until(
                lambda known=endpoints: known['i-0'].record.address == address
            )

    async def prepare_working(world: World) -> None:
        if 'working' in context:
            await add_working(world, service)

    context.target = '/stream/a' if service == 'engines' else '/write/a'
    context.build = with_scripted
    context.service = service
    context.prepare = [prepare_working]


async def add_working(world: World, service: str) -> None:
    await world.add_runner(WORKING, service)
    endpoints = world.nodes['n-0'].platform_state.registry.endpoints
    await world.until(lambda: WORKING in endpoints)


async def cut_first_node(world: World) -> None:
    """Cut the first node off from all endpoints."""
    await watch_links(world.nodes['n-0']).cut(REFUSE)


def ask_scripted(context: Context, kind: str, body: bytes) -> None:
    """Make one request; a second endpoint appears before it is answered."""

    async def resume(world: World) -> None:
        world.store.put('op/config', manifest(2, resumable=True))
        state = world.nodes['n-0'].platform_state
        await world.until(lambda: state.route_table.configuration.version == 2)

    async def scenario(world: World) -> None:
        scripted = context.scripted
        scripted.answering.clear()
        asking = await curio.spawn(
            partial(
                world.ask, 'n-0', TARGETS[kind], 'at-0', body=body, **PROMPT
            )
        )
        await world.until(lambda: scripted.asked or asking.terminated)
        if 'has_second' in context:
            await add_working(world, context.service)
        await scripted.answering.set()
        context.answers = [await asking.join()]

    if kind == 'resumable generation':
        context.prepare.append(resume)
    run(context, scenario)
