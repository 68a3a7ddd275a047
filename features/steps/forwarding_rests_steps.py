"""Steps for endpoints that ask a node to back off for a time."""

from uuid import uuid4

import curio
from behave import then, when
from behave.runner import Context

from support.fleet.scenario import PROMPT, run
from support.fleet.world import World
from turmericyard_fleet.ingress import read_endpoint_report
from turmericyard_http.clock import boot_seconds

ASKING = 'i-0'
CALL_PAUSE_SECONDS = 0.05
#: Calls after the back-off, enough to show that the endpoint is used again.
CALLS_AFTER = 12


async def until_rejected(world: World, identity: str, target: str) -> float:
    """Send requests until the endpoint rejects one; return its time."""
    runner = world.runners[identity]
    before = len(runner.arrivals)
    while len(runner.arrivals) == before:
        await world.ask('n-0', target, f'at-{uuid4().hex}')
    runner.fault = ''
    return runner.arrived_at[-1]


@when(
    'an endpoint asks for a back-off of {seconds:g} seconds while calls are'
    ' made'
)
def step_back_off(context: Context, seconds: float) -> None:
    async def scenario(world: World) -> None:
        runner = world.runners[ASKING]
        runner.fault = 'full'
        runner.faults_left = 1
        runner.back_off_seconds = seconds
        context.asked_at = await until_rejected(world, ASKING, '/write/a')
        context.ends_at = context.asked_at + seconds
        context.answers = []
        while boot_seconds() < context.ends_at:
            context.answers.append(
                await world.ask('n-0', '/write/a', f'at-{uuid4().hex}')
            )
            await curio.sleep(CALL_PAUSE_SECONDS)
        for _ in range(CALLS_AFTER):
            await world.ask('n-0', '/write/a', f'at-{uuid4().hex}')
        context.arrived_at = runner.arrived_at

    run(context, scenario)


@then('it gets no request until the back-off ends, and requests after that')
def step_nothing(context: Context) -> None:
    later = [at for at in context.arrived_at if at > context.asked_at]
    assert later
    assert min(later) >= context.ends_at, (later, context.ends_at)


@when(
    'an engine asks a node that is no hub for a back-off of {seconds:g} seconds'
)
def step_engine(context: Context, seconds: float) -> None:
    async def scenario(world: World) -> None:
        hubs = world.nodes['n-0'].fleet.hub_choice.names
        asker = next(name for name in world.nodes if name not in hubs)
        runner = world.runners[ASKING]
        runner.fault = 'full'
        runner.back_off_seconds = seconds
        while not runner.arrivals:
            await ask_stream(world, asker)
        runner.fault = ''
        context.before = len(runner.arrivals)
        for _ in range(CALLS_AFTER):
            await ask_stream(world, asker)
        context.after = len(runner.arrivals)
        for _ in range(CALLS_AFTER):
            await ask_stream(world, hubs[0])
        context.of_others = len(runner.arrivals)

    run(context, scenario)


async def ask_stream(world: World, node: str) -> None:
    for runner in world.runners.values():
        runner.length = 2
    await world.ask(node, '/stream/a', f'at-{uuid4().hex}', **PROMPT)


@then('it gets no stream of that node, but streams of others')
def step_no_stream(context: Context) -> None:
    assert context.after == context.before
    assert context.of_others > context.after


@when('all endpoints ask for a back-off of {seconds:g} seconds')
def step_all(context: Context, seconds: float) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.fault = 'full'
            runner.back_off_seconds = seconds
        first = await world.ask('n-0', '/write/a', 'at-first')
        assert first.status == 503, first
        for runner in world.runners.values():
            runner.fault = ''
        context.answer = await world.ask('n-0', '/write/a', 'at-second')

    run(context, scenario)


@then(
    'a client is refused within {limit:g} seconds and asked to retry after'
    ' {low:g} to {high:g} seconds'
)
def step_refused(
    context: Context, limit: float, low: float, high: float
) -> None:
    answer = context.answer
    assert answer.status == 503, answer
    assert answer.seconds <= limit, answer
    assert low <= float(answer.headers['retry-after']) <= high, answer


@then("a client's next call is answered {status:d}")
def step_next(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer


@when('an endpoint rejects a request with the retry-after text "{text}"')
@when('an endpoint rejects a request with the retry-after text ""')
def step_text(context: Context, text: str = '') -> None:
    lines = ((b'retry-after', text.encode()),)
    context.report = read_endpoint_report(503, lines)


@then('no back-off is read from it')
def step_no_back_off(context: Context) -> None:
    assert context.report.back_off_seconds is None, context.report
