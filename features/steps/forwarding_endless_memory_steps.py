"""Steps for the memory that endpoints without end take."""

from functools import partial
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.cuts import REFUSE, watch_links
from support.fleet.endless import EndlessRunner, FloodingRunner
from support.fleet.scenario import PROMPT, build
from support.fleet.world import Answer, World, manifest, play
from support.memory import peak_growth
from support.untrusted.crowd import SAMPLE_SECONDS, Deployment
from support.untrusted.process import BYTES_PER_MB, LimitedNode
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.server import open_listener

FLOOD_SECONDS = 6.0
ENGINES = 24
TARGETS = {'read': '/read/a', 'once': '/once/a', 'stream': '/stream/a'}


def with_faulty_routes() -> dict[str, Any]:
    """Return a configuration whose writes alone go to sound endpoints."""
    table = manifest(2)
    reads, writes, _ = table['routes']
    reads['service'] = 'faulty'
    once = {'name': 'once', 'pathPrefix': '/once/', 'service': 'faulty'}
    table['routes'].append({**writes, **once})
    table['services'].append({'name': 'faulty'})
    return table


async def serve_endless(world: World, runner: Any) -> str:
    """Return the address at which a runner sends without end."""
    listener = open_listener(LOOPBACK, free_port())
    task = await curio.spawn(runner.serve, listener, daemon=True)
    world.tasks.append(task)
    return f'{LOOPBACK}:{listener.getsockname()[1]}'


async def add_endless(
    world: World, identity: str, service: str, runner: Any
) -> None:
    """Register an endpoint that sends without end."""
    added = await world.add_runner(identity, service)
    added.address = await serve_endless(world, runner)
    world.register(identity, service)


@given(
    'a node with {megabytes:d} MB and endpoints that send {what} without end'
)
def step_endless(context: Context, megabytes: int, what: str) -> None:
    context.memory_mb = megabytes

    async def prepare(world: World) -> None:
        for number in range(2):
            runner = FloodingRunner(what)
            await add_endless(world, f'i-f{number}', 'faulty', runner)
            await add_endless(world, f'i-e{number}', 'engines', runner)

    context.prepare_world = prepare


@given('a node with {megabytes:d} MB and engines whose reports do not end')
def step_reports(context: Context, megabytes: int) -> None:
    context.memory_mb = megabytes
    context.runners = [
        FloodingRunner('a stream of events', reports='a body in chunks')
        for _ in range(ENGINES)
    ]

    async def prepare(world: World) -> None:
        for number, runner in enumerate(context.runners):
            await add_endless(world, f'i-e{number}', 'engines', runner)

    context.prepare_world = prepare


@then('its process lives within {megabytes:d} MB')
def step_within(context: Context, megabytes: int) -> None:
    met = context.met
    assert met.survived
    used = met.peak + met.node.most_unread
    assert used <= megabytes * BYTES_PER_MB, used


@then('reports are asked for')
def step_asked(context: Context) -> None:
    assert sum(runner.reported for runner in context.runners) >= ENGINES


@when('{calls:d} clients make a {kind}')
def step_flood(context: Context, calls: int, kind: str) -> None:
    flood(context, calls, TARGETS[kind])


@when('the store falls silent while {calls:d} clients make a stream')
def step_silent_store(context: Context, calls: int) -> None:
    flood(context, calls, TARGETS['stream'], store_mode='silent')


def flood(
    context: Context, calls: int, target: str, store_mode: str = ''
) -> None:
    async def run() -> None:
        world = World()
        await world.open()
        store = world.servers['store'].listener.getsockname()
        node = LimitedNode(
            'n-0',
            'a',
            '127.0.0.41',
            f'{store[0]}:{store[1]}',
            context.launcher.directory,
            context.launcher,
            memory_mb=context.memory_mb,
        )
        context.met = Deployment(world, node)
        try:
            await meet(context, calls, target, store_mode)
        finally:
            context.launcher.close()
            await world.close()

    curio.run(run)


async def meet(
    context: Context, calls: int, target: str, store_mode: str
) -> None:
    """Let clients ask, sample the node's memory, and ask for something else."""
    met: Deployment = context.met
    met.world.store.put('op/config', with_faulty_routes())
    await met.world.add_runner('i-0', 'plain')
    await context.prepare_world(met.world)
    met.node.start()
    await met.node.until_ready()
    while (await met.ask('/write/a')).status != 200:
        await curio.sleep(SAMPLE_SECONDS)
    sampling = await curio.spawn(met.sample, daemon=True)
    clients = [
        await curio.spawn(partial(met.ask, target, **PROMPT), daemon=True)
        for _ in range(calls)
    ]
    await curio.sleep(1)
    met.world.store.mode = store_mode
    await curio.sleep(FLOOD_SECONDS)
    met.answer = await met.ask('/write/a')
    met.survived = met.node.is_running()
    if met.survived:
        met.node.sample()
        met.peak = met.node.peak_bytes()
    for task in (*clients, sampling):
        await task.cancel()
    print(f'peak {met.peak / BYTES_PER_MB:.1f} MB, {met.answer}')


@given(
    'a node that reaches an endpoint that sends {what} without end only through'
    ' another one'
)
def step_tunnel(context: Context, what: str) -> None:
    async def prepare(world: World) -> None:
        await build('engines', 1, 2, world)
        await add_endless(world, 'i-9', 'plain', EndlessRunner(what))
        await world.ready()
        await watch_links(world.nodes['n-0']).cut(REFUSE)

    context.prepare_world = prepare


@when('{calls:d} calls lead through the other one')
def step_tunnelled(context: Context, calls: int) -> None:
    async def scenario(world: World) -> None:
        await context.prepare_world(world)
        context.answers = []
        async with curio.TaskGroup() as group:
            for _ in range(calls):
                await group.spawn(ask_into, context.answers, world)
        context.relayed = world.nodes['n-0'].fleet.paths.relayed

    context.grown = peak_growth(partial(play, scenario))


async def ask_into(answers: list[Answer], world: World) -> None:
    answers.append(await world.ask('n-0', '/write/a', 'at-0'))


@then('the memory of both nodes grows by at most {megabytes:d} MB')
def step_grown(context: Context, megabytes: int) -> None:
    print(f'grown by {context.grown / BYTES_PER_MB:.1f} MB')
    assert context.relayed > 0
    assert not [each for each in context.answers if each.status == 200]
    assert context.grown <= megabytes * BYTES_PER_MB, context.grown
