"""Steps for requests that crash the endpoints that run them."""

from functools import partial
from itertools import cycle
from uuid import uuid4

import curio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_drawn
from hypothesis import seed, settings
from hypothesis import strategies as drawn

from support.fleet.scenario import PROMPT, run
from support.fleet.scripted import CrashingScript
from support.fleet.world import Answer, World
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_decisions.strikes import STRIKE_LIMIT, StrikeRegistry
from turmericyard_node.forwarding.application import ForwardingApplication

CRASHING_BODY = b'deadly'
SEED = 1
#: Time between two attempts of a client, in seconds.
PAUSE_SECONDS = 0.3
OTHER_REQUESTS = 12
STREAM_EVENTS = 40


def crash_on_request(world: World) -> None:
    for runner in world.runners.values():
        runner.crashing.add(CRASHING_BODY)


async def send_crashing(
    world: World, target: str, times: int, **headers: str
) -> list[Answer]:
    crash_on_request(world)
    answers = []
    nodes = cycle(world.nodes)
    for _ in range(times):
        attempt = f'at-{uuid4().hex}'
        answers.append(
            await world.ask(
                next(nodes), target, attempt, body=CRASHING_BODY, **headers
            )
        )
        await curio.sleep(PAUSE_SECONDS)
    return answers


def crashed(world: World) -> int:
    return sum(len(runner.crashes) for runner in world.runners.values())


@when(
    'a client sends a request that crashes endpoints {times:d} times to all'
    ' nodes in turn'
)
def step_deadly(context: Context, times: int) -> None:
    async def scenario(world: World) -> None:
        context.answers = await send_crashing(world, '/write/a', times)
        context.crashed = crashed(world)
        context.others = [
            await world.ask(node, '/write/a', f'at-other-{node}')
            for node in world.nodes
        ]

    run(context, scenario)


@when(
    'a client sends an idempotent request that crashes endpoints {times:d} times'
)
def step_idempotent(context: Context, times: int) -> None:
    async def scenario(world: World) -> None:
        context.answers = await send_crashing(world, '/read/a', times)
        context.crashed = crashed(world)

    run(context, scenario)


@when(
    'a client sends a stream that crashes endpoints after {events:d} events'
    ' {times:d} times to all nodes in turn'
)
def step_crashing_stream(context: Context, events: int, times: int) -> None:
    send_crashing_streams(context, times, crash_after_events=events)


@when(
    'a client sends a stream that crashes endpoints inside the body of a'
    ' failure {times:d} times to all nodes in turn'
)
def step_crashing_failure(context: Context, times: int) -> None:
    send_crashing_streams(context, times, crash_in_failure=True)


@given('endpoints that end {answer} with a crash')
def step_scripts(context: Context, answer: str) -> None:
    async def replace_runners(world: World) -> None:
        context.scripts = []
        for identity, runner in world.runners.items():
            port = free_port()
            address = f'{LOOPBACK}:{port}'
            script = CrashingScript(
                answer, CRASHING_BODY, world.crash_seconds, address
            )
            world.tasks.append(await curio.spawn(script.run, port))
            context.scripts.append(script)
            runner.address = address
            service = 'engines' if 'stream' in answer else 'plain'
            world.register(identity, service)
        for node in world.nodes.values():
            await world.until(partial(knows_runners, world, node))

    context.prepare.append(replace_runners)


def knows_runners(world: World, node: ForwardingApplication) -> bool:
    endpoints = node.platform_state.registry.endpoints
    return {each.record.address for each in endpoints.values()} == {
        runner.address for runner in world.runners.values()
    }


@when('a client sends a crashing {kind} {times:d} times to all nodes in turn')
def step_crashing_scripts(context: Context, kind: str, times: int) -> None:
    target = f'/{kind}/a'

    async def scenario(world: World) -> None:
        context.answers = await send_crashing(world, target, times, **PROMPT)
        context.crashed = sum(script.crashes for script in context.scripts)
        context.others = [
            await world.ask(node, target, f'at-other-{node}', **PROMPT)
            for node in world.nodes
        ]

    run(context, scenario)


def send_crashing_streams(
    context: Context, times: int, **changes: bool | int
) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.length = STREAM_EVENTS
            for name, value in changes.items():
                setattr(runner, name, value)
        context.answers = await send_crashing(
            world, '/stream/a', times, **PROMPT
        )
        context.crashed = crashed(world)
        context.others = [
            await world.ask(node, '/stream/a', f'at-other-{node}', **PROMPT)
            for node in world.nodes
        ]

    run(context, scenario)


@then('{number:d} endpoints crashed')
def step_crashed(context: Context, number: int) -> None:
    assert context.crashed == number, (context.crashed, context.answers)


@then('its last answers are refusals with a time to retry')
def step_refused(context: Context) -> None:
    for answer in context.answers[STRIKE_LIMIT:]:
        assert answer.status == 503, answer
        assert float(answer.headers['retry-after']) > 0, answer


@then('requests with other bodies are served by every node')
@then('streams with other bodies are served by every node')
def step_others(context: Context) -> None:
    assert {each.status for each in context.others} == {200}, context.others


@when('other requests run at each endpoint that crashes and are then repeated')
def step_beside(context: Context) -> None:
    async def scenario(world: World) -> None:
        crash_on_request(world)
        for runner in world.runners.values():
            runner.event_seconds = 0.2
        bodies = [b'sound-%d' % number for number in range(OTHER_REQUESTS)]
        for _ in range(2 * STRIKE_LIMIT):
            concurrent = [
                await curio.spawn(
                    partial(
                        world.ask,
                        'n-0',
                        '/write/a',
                        f'at-{uuid4().hex}',
                        body=body,
                    )
                )
                for body in bodies
            ]
            await curio.sleep(0.1)
            await world.ask(
                'n-1', '/write/a', f'at-{uuid4().hex}', body=CRASHING_BODY
            )
            for task in concurrent:
                await task.join()
            await curio.sleep(PAUSE_SECONDS)
        context.answers = [
            await world.ask('n-1', '/write/a', f'at-{uuid4().hex}', body=body)
            for body in bodies
        ]

    run(context, scenario)


@then('the other requests are all answered {status:d}')
def step_all_answered(context: Context, status: int) -> None:
    found = {each.status for each in context.answers}
    assert found == {status}, context.answers


@when('a client makes the same call {times:d} times')
def step_same(context: Context, times: int) -> None:
    async def scenario(world: World) -> None:
        for number in range(times):
            await world.ask('n-0', '/write/a', f'at-{number}')
        context.times = times
        context.arrived = sum(
            len(runner.arrivals) for runner in world.runners.values()
        )

    run(context, scenario)


@then('each call reached an endpoint')
def step_reached(context: Context) -> None:
    assert context.arrived >= context.times, context.arrived


MARKS = drawn.sampled_from((b'm-1', b'm-2'))
PARTS = (b'm-1', b'm-2', b'm-3', b'm-4')
HISTORY = drawn.lists(
    drawn.tuples(
        drawn.sampled_from(('crash', 'completion')),
        MARKS,
        drawn.integers(0, 2),
        drawn.integers(1, 4),
    ),
    max_size=12,
)


@when(
    '{number:d} random histories of strikes and completions reach three'
    ' strike registries'
)
def step_histories(context: Context, number: int) -> None:
    context.histories = 0

    def play(history: list[tuple[str, bytes, int, int]]) -> None:
        registries = [StrikeRegistry(partial(float, 0)) for _ in range(3)]
        changes = []
        for kind, mark, node, together in history:
            parts = PARTS[:together]
            sent = registries[node].known(mark)
            if kind == 'crash':
                # `together` runs were in progress, each at another endpoint.
                changes.extend(
                    registries[node].record_strike(sent, parts)
                    for _ in range(together)
                )
                assert registries[node].known(mark).count == sent.count + 1
            else:
                changes.append(registries[node].clear_strikes(mark))
        shared = [strike for strike in changes if strike is not None]
        for place, registry in enumerate(registries):
            for strike in shared if place else reversed(shared):
                registry.merge(strike)
        found = {
            tuple(registry.known(mark) for mark in (b'm-1', b'm-2'))
            for registry in registries
        }
        assert len(found) == 1, (history, found)
        context.histories += 1

    checked = settings(max_examples=number, deadline=None, database=None)
    seed(SEED)(checked(given_drawn(HISTORY)(play)))()


@then('all strike registries agree after the same strikes')
def step_agree(context: Context) -> None:
    assert context.histories >= 100


@then(
    'a request that was in progress at several simultaneous crashes is not'
    ' refused'
)
def step_once(context: Context) -> None:
    registry = StrikeRegistry(partial(float, 0))
    sent = registry.known(b'm')
    for _ in range(STRIKE_LIMIT + 1):
        registry.record_strike(sent)
    assert registry.known(b'm').count == 1
