"""Steps for streams that survive the loss of their endpoint."""

from functools import partial

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.scenario import (
    PROMPT,
    all_runs,
    build,
    run,
    running,
    stream,
)
from support.fleet.world import World

#: Time before an engine answers a request with its stream, in seconds.
HEAD_SECONDS = 0.5
#: Time between the events of a run that moves over several engines, in seconds.
SLOW_EVENT_SECONDS = 0.04
#: Time in which the node has recorded a copy, or an engine freed it, in seconds.
FREE_SECONDS = 0.3


@given('a world with {count:d} engines and {nodes:d} node')
@given('a world with {count:d} engines and {nodes:d} nodes')
def step_engines(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'engines', count, nodes)
    context.prepare = []


@given('a world with {count:d} engines that keep backups and {nodes:d} node')
@given('a world with {count:d} engines that keep backups and {nodes:d} nodes')
def step_backups(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'engines', count, nodes, backups=True)
    context.prepare = []


async def announce(world: World, identity: str) -> None:
    world.register(identity, 'engines', 'draining')


@when('an engine leaves with notice while it streams {count:d} events')
def step_notice(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        identity = running(world)[0]
        await announce(world, identity)
        await curio.sleep(0.6)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


@when(
    'an engine announces that it leaves before it begins to stream {count:d}'
    ' events'
)
def step_late_begin(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.head_seconds = HEAD_SECONDS
            runner.length = count
        asking = await curio.spawn(
            partial(world.ask, 'n-0', '/stream/a', 'at-1', **PROMPT)
        )
        await world.until(lambda: bool(asked(world)))
        identity = asked(world)[0]
        await announce(world, identity)
        await world.until(lambda: bool(running(world)))
        await curio.sleep(HEAD_SECONDS)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


def asked(world: World) -> list[str]:
    """Return the runners to which a request was sent."""
    return [each for each, one in world.runners.items() if one.arrivals]


@when(
    'an engine leaves and only one other has room while {count:d} events stream'
)
def step_one_room(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        identity = running(world)[0]
        rival = await curio.spawn(
            partial(world.ask, 'n-0', '/stream/b', 'at-2', **PROMPT)
        )
        await world.until(lambda: len(running(world)) == 2)
        empty = set(world.runners).difference(running(world)).pop()
        world.runners[empty].no_room = True
        await announce(world, identity)
        await curio.sleep(0.6)
        await world.end_runner(identity)
        context.answer = await asking.join()
        await rival.join()

    run(context, scenario)


@when('an engine dies without notice while it streams {count:d} events')
def step_dies(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        await world.end_runner(running(world)[0])
        context.answer = await asking.join()

    run(context, scenario)


@when(
    '{engines:d} engines leave one after the other while {count:d} events are'
    ' streamed'
)
def step_leave_in_turn(context: Context, engines: int, count: int) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.event_seconds = SLOW_EVENT_SECONDS
        asking = await stream(world, count)
        for _ in range(engines):
            identity = running(world)[0]
            await announce(world, identity)
            await curio.sleep(0.5)
            await world.end_runner(identity)
            await world.until(lambda: bool(running(world)))
        context.answer = await asking.join()

    run(context, scenario)


@when('the backup of a run leaves and then its engine leaves')
def step_backup_leaves(context: Context) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, 60)
        identity = running(world)[0]
        backup = next(
            each for each, runner in world.runners.items() if runner.copies
        )
        await announce(world, backup)
        await curio.sleep(0.2)
        context.gone = world.runners[backup]
        context.arrived = len(context.gone.arrivals)
        await announce(world, identity)
        await curio.sleep(0.5)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


@when('an engine announces that it leaves and ends its run of {count:d} events')
def step_ends_in_place(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        await announce(world, running(world)[0])
        await record_copies(context, world)
        context.answer = await asking.join()
        await curio.sleep(FREE_SECONDS)
        context.kept = copies(world)

    run(context, scenario)


@when(
    'an engine announces that it leaves and the client of its run disconnects'
)
def step_client_disconnects(context: Context) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, 500)
        await announce(world, running(world)[0])
        await record_copies(context, world)
        await asking.cancel()
        await curio.sleep(FREE_SECONDS)
        context.kept = copies(world)

    run(context, scenario)


async def record_copies(context: Context, world: World) -> None:
    """Wait for a copy and record the copies that exist."""
    await world.until(lambda: bool(copies(world)))
    await curio.sleep(FREE_SECONDS)
    context.copied = copies(world)


def copies(world: World) -> list[str]:
    return [each for one in world.runners.values() for each in one.copies]


@then('a copy was made and no engine keeps it')
def step_freed(context: Context) -> None:
    assert context.copied
    assert not context.kept, context.kept


@then('no endpoint got a request after it had left for 1.5 seconds')
def step_left(context: Context) -> None:
    assert len(context.gone.arrivals) == context.arrived


def events(body: bytes) -> list[int]:
    return [
        int(line.removeprefix(b'id: '))
        for line in body.split(b'\n')
        if line.startswith(b'id: ')
    ]


@then('the client got {count:d} events, each once and in order')
def step_events(context: Context, count: int) -> None:
    got = events(context.answer.body)
    assert got == list(range(1, count + 1)), (got, context.answer.error)


@then('the client got the first events, each once and in order')
def step_first_events(context: Context) -> None:
    got = events(context.answer.body)
    assert got and got == list(range(1, len(got) + 1)), got


@then('the stream was complete')
def step_complete(context: Context) -> None:
    assert context.answer.whole, context.answer.error


@then('the stream was not complete')
def step_not_complete(context: Context) -> None:
    assert not context.answer.whole


@then('the generation ran once')
def step_ran_once(context: Context) -> None:
    assert all_runs(context.world) == ['at-1']
