"""Steps for requests that reach a node while it stops."""

from functools import partial

import curio
import h11
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import all_runs, run
from support.fleet.world import Answer, World, read_answer, request_lines
from turmericyard_http.connection import ClientConnection, connect

#: Time between two calls, in seconds.
PAUSE_SECONDS = 0.1
#: Time limit of each call: the time limit of its route.
DEADLINE_MS = 3000
KEPT_CONNECTIONS = 80
OK = 200
UNAVAILABLE = 503


async def call(connection: ClientConnection, attempt: str) -> Answer:
    """Make a call on an open connection; `whole` is false when it is cut."""
    answer = Answer()
    lines = request_lines(attempt, DEADLINE_MS, b'')
    try:
        await connection.send_lines(b'POST', b'/write/a', lines, b'')
        await read_answer(connection, answer)
    except (OSError, EOFError, h11.ProtocolError) as error:
        answer.error = repr(error)
    await connection.close()
    return answer


@when(
    'calls that take {seconds:g} seconds reach a node on {kind} connections'
    ' from its stop on'
)
def step_stop(context: Context, seconds: float, kind: str) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.event_seconds = seconds
        node = world.nodes['n-0']
        address = node.settings.callers
        kept = (
            [await connect(address) for _ in range(KEPT_CONNECTIONS)]
            if kind == 'kept'
            else []
        )
        stopping = await curio.spawn(node.stop)
        calls = {}
        number = 0
        while not stopping.terminated:
            number += 1
            try:
                connection = kept.pop() if kept else await connect(address)
            except OSError:
                break
            attempt = f'at-{number}'
            calls[attempt] = await curio.spawn(
                partial(call, connection, attempt)
            )
            await curio.sleep(PAUSE_SECONDS)
        await stopping.join()
        for connection in kept:
            await connection.close()
        context.answers = {
            attempt: await task.join() for attempt, task in calls.items()
        }
        context.ran = set(all_runs(world))
        world.nodes.pop('n-0')

    run(context, scenario)


@then('each call that was sent within the grace period got a complete answer')
def step_answered(context: Context) -> None:
    cut = {
        attempt: answer
        for attempt, answer in context.answers.items()
        if attempt in context.ran and not answer.whole
    }
    assert not cut, cut
    assert OK in {each.status for each in context.answers.values()}


@then('calls that were refused have a time to retry and did not run')
def step_refused(context: Context) -> None:
    for attempt, answer in context.answers.items():
        if answer.status == UNAVAILABLE:
            assert attempt not in context.ran, attempt
            assert float(answer.headers['retry-after']) > 0, answer
