"""Steps for runs that are stopped before they go on at another endpoint."""

from functools import partial
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.cuts import REFUSE, watch_links
from support.fleet.runner import RESET, SILENCE, FleetRunner
from support.fleet.scenario import run, running, stream
from support.fleet.world import World

#: Time between the events of a run whose stream is silent, in seconds: it has
#: to last longer than the node waits for events.
SLOW_EVENT_SECONDS = 0.05
#: The same at the engine at which that run goes on.
FAST_EVENT_SECONDS = 0.01
#: Time for which an engine sends events before it loses the answer, in seconds:
#: a run that broke off sooner twice does not go on.
ESTABLISHED_SECONDS = 0.7
COPY_SECONDS = 0.6
#: What is copied first, and a time within a copy, in seconds.
FIRST_COPY = 'a copy'
COPY_BEGUN_SECONDS = 0.1
UNENDING_SECONDS = 1000
FREE_SECONDS = 0.3
DEADLINE_MS = 8000


@given('a node that reaches engines through the other one only')
def step_cut_off(context: Context) -> None:
    async def prepare(world: World) -> None:
        node = world.nodes['n-0']
        # A node that has just started knows no peer that reaches endpoints.
        await world.until(lambda: bool(node.fleet.paths.relays()))
        await watch_links(node).cut(REFUSE)

    context.prepare.append(prepare)


@given('the next answer of an engine is lost before its head')
def step_headless(context: Context) -> None:
    async def prepare(world: World) -> None:
        taken: list[str] = []
        for runner in world.runners.values():
            runner.take_fault = partial(headless_once, runner, taken)

    context.prepare.append(prepare)


def headless_once(runner: FleetRunner, taken: list[str]) -> str:
    if taken:
        return ''
    taken.append(runner.identity)
    return 'headless'


@given(
    'engines at which the first {count:d} requests to stop a run are lost',
)
def step_moves_lost(context: Context, count: int) -> None:
    set_all(context, moves_lost=count)


@given(
    'engines at which the first {count:d} requests to stop a run come while a'
    ' copy is made'
)
def step_moves_refused(context: Context, count: int) -> None:
    set_all(context, moves_refused=count)


@given('engines without room for a copy')
def step_no_room(context: Context) -> None:
    set_all(context, no_room=True)


def set_all(context: Context, **fields: Any) -> None:
    async def prepare(world: World) -> None:
        for runner in world.runners.values():
            for name, value in fields.items():
                setattr(runner, name, value)

    context.prepare.append(prepare)


@when('an engine loses the answer of a run of {count:d} events by {loss}')
def step_loses(context: Context, count: int, loss: str) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        await lose(world, loss)
        await finish(context, world, asking)

    run(context, scenario)


@when('{engines:d} engines lose the answer of a run of {count:d} events')
def step_lose_in_turn(context: Context, engines: int, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        for _ in range(engines):
            await curio.sleep(ESTABLISHED_SECONDS)
            await lose(world, RESET)
        await finish(context, world, asking)

    run(context, scenario)


@when(
    'an engine that leaves loses the answer of a run of {count:d} events',
)
def step_leaving(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        world.register(running(world)[0], 'engines', 'draining')
        await curio.sleep(COPY_SECONDS)
        await lose(world, RESET)
        await finish(context, world, asking)

    run(context, scenario)


@when(
    'an engine that leaves loses the answer of a run of {count:d} events while'
    ' {copy} is made for {seconds:g} seconds'
)
def step_lose_in_copy(
    context: Context, count: int, copy: str, seconds: float
) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        context.former = await begin_copy(world, copy, seconds)
        context.copies_before = len(context.former.moves)
        context.former.loses_answers = RESET
        await finish(context, world, asking)

    run(context, scenario)


async def begin_copy(world: World, copy: str, seconds: float) -> FleetRunner:
    """Return an engine that leaves once it makes a slow copy of its run."""
    identity = current(world)
    former = world.runners[identity]
    set_pace(world, identity)
    if copy == FIRST_COPY:
        former.copy_seconds = seconds
    world.register(identity, 'engines', 'draining')
    if copy != FIRST_COPY:
        await world.until(lambda: bool(former.moved_to))
        former.copy_seconds = seconds
    await world.until(lambda: bool(former.copying))
    await curio.sleep(COPY_BEGUN_SECONDS)
    return former


@when(
    'an engine that leaves is out of reach while a newer copy of a run of'
    ' {count:d} events is made'
)
def step_out_of_reach(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        former = await begin_copy(world, 'a newer one', UNENDING_SECONDS)
        former.answers_moves = False
        # The engine ends its run and resets the stream's connection.
        former.runs.clear()
        await finish(context, world, asking)

    run(context, scenario)


@when('a run of {count:d} events is to be stopped twice at the same time')
def step_stop_twice(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await start(world, count)
        context.former = world.runners[current(world)]
        streams = world.nodes['n-0'].request_handler.streams
        [stopped] = streams.run_registry.runs
        for _ in range(2):
            stopper = streams.stream_failover.stopper
            await stopper.begin(stopped.job, stopped.current_endpoint)
        await finish(context, world, asking)

    run(context, scenario)


@then('the engine was asked for no copy after the loss but to stop the run')
def step_no_copy(context: Context) -> None:
    asked = context.former.moves[context.copies_before :]
    assert asked and all(asked), asked


@then('the engine was asked to stop the run {count:d} times at most')
def step_asked(context: Context, count: int) -> None:
    assert 0 < sum(context.former.moves) <= count, context.former.moves


@then('the client was told within {seconds:g} seconds')
def step_told(context: Context, seconds: float) -> None:
    assert context.answer.seconds <= seconds, context.answer.seconds


async def start(world: World, count: int) -> Any:
    return await stream(world, count, deadline_ms=DEADLINE_MS)


async def lose(world: World, loss: str) -> None:
    """Lose the answer of the run at the engine that has it."""
    identity = current(world)
    if loss == SILENCE:
        set_pace(world, identity)
    world.runners[identity].loses_answers = loss


def set_pace(world: World, slow: str) -> None:
    """Let an engine make events slowly and all others fast."""
    for identity, runner in world.runners.items():
        runner.event_seconds = (
            SLOW_EVENT_SECONDS if identity == slow else FAST_EVENT_SECONDS
        )


def current(world: World) -> str:
    """Return the engine whose stream of the run is passed on."""
    return next(
        identity
        for identity in running(world)
        if not world.runners[identity].runs['at-1'].is_detached
    )


async def finish(context: Context, world: World, asking: Any) -> None:
    context.answer = await asking.join()
    await curio.sleep(FREE_SECONDS)
    context.kept = [
        handle
        for runner in world.runners.values()
        for handle in runner.copies
        if handle.startswith('h-')
    ]


@then('no engine worked on the run {seconds:g} seconds after another one began')
def step_one_at_a_time(context: Context, seconds: float) -> None:
    began = {
        identity: runner.arrived_at
        for identity, runner in context.world.runners.items()
    }
    assert sum(map(len, began.values())) > 1, began
    late = [
        f'{before.identity} worked on {before.worked_at["at-1"] - at:.2f} s'
        f' after {after} began'
        for before in context.world.runners.values()
        for after, times in began.items()
        for at in times
        if after != before.identity
        and before.arrived_at
        and before.arrived_at[0] < at
        and before.worked_at.get('at-1', 0) > at + seconds
    ]
    assert not late, late


@then('no engine keeps a copy that was made to stop the run')
def step_freed(context: Context) -> None:
    assert not context.kept, context.kept
