"""Steps for endpoints that answer before a long body has been sent."""

from socket import SO_RCVBUF, SOL_SOCKET

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.early import REJECTED, EarlyRunner
from support.fleet.scenario import build, run
from support.fleet.world import World
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.server import open_listener

LONG_BODY = 4_000_000
#: Receive buffer of the endpoint, in bytes: small, so that unread bytes hold
#: the sender up as on a slow link.
SMALL_BUFFER = 65_536
LONG_MS = 10_000


@given('a world whose plain endpoint rejects bodies early and {then}')
def step_rejects(context: Context, then: str) -> None:
    prepare_early(context, EarlyRunner(False, then == 'closes the connection'))


@given(
    'a world whose plain endpoint answers early that a request has not run and'
    ' {then}'
)
def step_not_run(context: Context, then: str) -> None:
    prepare_early(context, EarlyRunner(True, then == 'closes the connection'))


def prepare_early(context: Context, early: EarlyRunner) -> None:
    context.early = early
    context.working = 0

    async def with_early(world: World) -> None:
        await build('plain', 1 + context.working, 1, world)
        listener = open_listener(LOOPBACK, free_port())
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
        world.tasks.append(await curio.spawn(early.serve, listener))
        runner = world.runners['i-0']
        runner.address = f'{LOOPBACK}:{listener.getsockname()[1]}'
        world.register('i-0', 'plain')
        registry = world.nodes['n-0'].platform_state.registry
        await world.until(
            lambda: registry.endpoints['i-0'].record.address == runner.address
        )

    context.build = with_early
    context.prepare = []


@given('a second endpoint that works')
def step_second(context: Context) -> None:
    context.working = 1


@when('a client sends a body of 4 MB')
def step_long_body(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answers = []
        while True:
            answer = await world.ask(
                'n-0',
                '/write/a',
                f'at-{len(context.answers)}',
                deadline_ms=LONG_MS,
                body=bytes(LONG_BODY),
            )
            context.answers.append(answer)
            if 'early' not in context or context.early.answered:
                return

    run(context, scenario)


@then(
    "the client gets the endpoint's complete rejection within {seconds:d} seconds"
)
def step_rejection(context: Context, seconds: int) -> None:
    answer = context.answers[-1]
    assert (answer.status, answer.body) == (413, REJECTED), context.answers
    assert answer.whole
    assert answer.seconds < seconds, answer.seconds


@then('the endpoint was asked once')
def step_once(context: Context) -> None:
    assert context.early.answered == 1


@then("the client gets the second endpoint's answer within {seconds:d} seconds")
def step_second_answer(context: Context, seconds: int) -> None:
    answer = context.answers[-1]
    assert answer.status == 200, context.answers
    assert answer.seconds < seconds, answer.seconds


@then('the endpoint has read the whole body')
def step_read(context: Context) -> None:
    [answer] = context.answers
    assert answer.status == 200, answer
    assert context.world.runners['i-0'].bodies == [LONG_BODY]
