"""Steps for streams of resumable routes."""

from functools import partial

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.runner import FleetRunner
from support.fleet.scenario import (
    PROMPT,
    all_runs,
    build,
    run,
    running,
    stream,
)
from support.fleet.world import World, manifest

ENGINES = 4


@given('engines with resumable streams')
def step_resumable(context: Context) -> None:
    async def whole(world: World) -> None:
        world.store.put('op/config', manifest(2, resumable=True))
        await build('engines', ENGINES, 1, world)

    context.build = whole
    context.prepare = []


@given('engines that ignore the last event')
def step_ignore(context: Context) -> None:
    async def prepare(world: World) -> None:
        for runner in world.runners.values():
            runner.stream = partial(from_start, runner.stream)

    context.prepare.append(prepare)


def from_start(stream_method, headers, *arguments):
    known = {**headers, 'last-event-id': '0'}
    return stream_method(known, *arguments)


@given('the next answer of an engine is reset')
def step_reset(context: Context) -> None:
    async def prepare(world: World) -> None:
        taken: list[str] = []
        for runner in world.runners.values():
            runner.take_fault = partial(reset_once, runner, taken)

    context.prepare.append(prepare)


def reset_once(runner: FleetRunner, taken: list[str]) -> str:
    if taken:
        return ''
    taken.append(runner.identity)
    return 'reset'


@when('a client resumes a stream of {count:d} events after event {last:d}')
def step_resume(context: Context, count: int, last: int) -> None:
    ask_stream(context, count, last_event_id=str(last))


@when('a client asks for a stream of {count:d} events')
def step_ask(context: Context, count: int) -> None:
    ask_stream(context, count)


def ask_stream(context: Context, count: int, **headers: str) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.length = count
        context.answer = await world.ask(
            'n-0', '/stream/a', 'at-1', **PROMPT, **headers
        )

    run(context, scenario)


@when('two engines die one after the other while they stream {count:d} events')
def step_two_die(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        for _ in range(2):
            await world.until(lambda: bool(running(world)))
            await curio.sleep(0.2)
            await world.end_runner(running(world)[0])
        context.answer = await asking.join()

    run(context, scenario)


@then('the client got events {first:d} to {last:d}, each once and in order')
def step_events(context: Context, first: int, last: int) -> None:
    got = [
        int(line.removeprefix(b'id: '))
        for line in context.answer.body.split(b'\n')
        if line.startswith(b'id: ')
    ]
    assert got == list(range(first, last + 1)), (got, context.answer.error)


@then('no endpoint got the last event')
def step_no_header(context: Context) -> None:
    arrivals = [
        headers
        for runner in context.world.runners.values()
        for headers in runner.arrivals
    ]
    assert arrivals
    assert not any('last-event-id' in headers for headers in arrivals)


@then('{count:d} endpoints ran the generation')
def step_runs(context: Context, count: int) -> None:
    assert len(all_runs(context.world)) == count, all_runs(context.world)
