"""Steps for prompts with a part that crashes the engines that run them."""

from functools import partial
from itertools import cycle
from uuid import uuid4

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import run
from support.fleet.world import Answer, World

FIRST_PART = 'aa01'
SOUND_PART = 'bb02'
CRASHING_PART = 'dd03'
#: Time between two requests of a client, in seconds.
PAUSE_SECONDS = 0.3


def prompt_parts(*shared: str) -> str:
    """Return a header of prompt parts that ends with one of the request."""
    parts = ','.join(f'{part}:100' for part in shared)
    return f'{parts},{uuid4().hex}:900'


async def ask_prompt(world: World, node: str, *shared: str) -> Answer:
    attempt = f'at-{uuid4().hex}'
    return await world.ask(
        node,
        '/stream/a',
        attempt,
        body=attempt.encode(),
        x_turmericyard_token_count='1000,400',
        x_turmericyard_prompt_prefix=prompt_parts(*shared),
    )


async def send_crashing_parts(
    context: Context, world: World, number: int, *, beside_sound: bool
) -> None:
    for runner in world.runners.values():
        runner.crashing_parts.add(CRASHING_PART)
        runner.head_seconds = 0.1
    context.answers = []
    nodes = cycle(world.nodes)
    crashing = (FIRST_PART, SOUND_PART, CRASHING_PART)
    for _ in range(number):
        if beside_sound:
            sound = await curio.spawn(
                ask_prompt, world, next(nodes), FIRST_PART, SOUND_PART
            )
        context.answers.append(await ask_prompt(world, next(nodes), *crashing))
        if beside_sound:
            await sound.join()
        await curio.sleep(PAUSE_SECONDS)
    context.crashed = sum(
        len(runner.crashes) for runner in world.runners.values()
    )
    context.others = [
        await ask_prompt(world, node, FIRST_PART, SOUND_PART)
        for node in world.nodes
    ]
    context.repeats = [
        await ask_prompt(world, node, *crashing) for node in world.nodes
    ]


@when(
    '{number:d} different prompts with a part that crashes engines reach all'
    ' nodes in turn, each beside a sound prompt'
)
def step_crashing_part(context: Context, number: int) -> None:
    async def scenario(world: World) -> None:
        await send_crashing_parts(context, world, number, beside_sound=True)

    run(context, scenario)


@when(
    '{number:d} different prompts with a part that crashes engines after'
    ' {events:d} events reach all nodes in turn, each beside a sound prompt'
)
def step_crashing_late(context: Context, number: int, events: int) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.crash_after_events = events
        await send_crashing_parts(context, world, number, beside_sound=True)

    run(context, scenario)


@when(
    '{number:d} different prompts with a part that crashes engines reach all'
    ' nodes in turn'
)
def step_crashing_part_alone(context: Context, number: int) -> None:
    async def scenario(world: World) -> None:
        await send_crashing_parts(context, world, number, beside_sound=False)

    run(context, scenario)


@when(
    '{number:d} prompts with a part that crashes engines reach all nodes each'
    ' {pause:g} seconds for {seconds:g} seconds'
)
def step_crashing_part_flood(
    context: Context, number: int, pause: float, seconds: float
) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.crashing_parts.add(CRASHING_PART)
            runner.head_seconds = 0.7
        world.crash_seconds = 3
        nodes = cycle(world.nodes)
        tasks = []
        for _ in range(round(seconds / pause)):
            for _ in range(number):
                asking = partial(
                    ask_prompt, world, next(nodes), FIRST_PART, CRASHING_PART
                )
                tasks.append(await curio.spawn(asking))
            await curio.sleep(pause)
        context.answers = [await task.join() for task in tasks]
        runners = world.runners.values()
        context.crashed_at = sorted(
            at for runner in runners for at in runner.crashed_at
        )
        context.arrived_at = sorted(
            at for runner in runners for at in runner.arrived_at
        )

    run(context, scenario)


@then(
    'at most {number:d} requests with the part arrive later than {seconds:g}'
    ' seconds after the fifth crash'
)
def step_late_arrivals(context: Context, number: int, seconds: float) -> None:
    bound = context.crashed_at[4] + seconds
    late = [at for at in context.arrived_at if at > bound]
    assert len(late) <= number, (context.crashed_at, late)


@then('requests with the part are still refused by every node')
def step_repeats_refused(context: Context) -> None:
    assert {each.status for each in context.repeats} == {503}, context.repeats


@then('at most {number:d} endpoints crashed')
def step_crashed_most(context: Context, number: int) -> None:
    assert context.crashed <= number, (context.crashed, context.answers)


@then(
    'the last {number:d} requests with the part are refused with a time to'
    ' retry'
)
def step_part_refused(context: Context, number: int) -> None:
    for answer in context.answers[-number:]:
        assert answer.status == 503, context.answers
        assert float(answer.headers['retry-after']) > 0, answer


@then('sound prompts with all other parts are served by every node')
def step_sound_prompts(context: Context) -> None:
    assert {each.status for each in context.others} == {200}, context.others
    assert all(each.whole for each in context.others), context.others
