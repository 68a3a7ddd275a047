"""Steps for endpoints that send data without end."""

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.endless import EndlessRunner
from support.fleet.scenario import PROMPT, build, run
from support.fleet.world import World, manifest
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.server import open_listener

MEGABYTE = 1_000_000
#: Timeouts so long that only the limits of bytes and of progress end a request.
LONG_MS = 30_000


@given('a world whose plain endpoint sends {what} without end')
def step_plain(context: Context, what: str) -> None:
    prepare_endless(context, 'plain', what)


@given('a world whose engine sends {what} without end')
def step_engine(context: Context, what: str) -> None:
    prepare_endless(context, 'engines', what)


@given(
    'a world whose {endpoint} sends {what} without end, and routes with a'
    ' timeout of {seconds:d} seconds'
)
def step_timeout(
    context: Context, endpoint: str, what: str, seconds: int
) -> None:
    service = 'engines' if endpoint == 'engine' else 'plain'
    prepare_endless(context, service, what, seconds * 1000)
    context.afterwards = count_sent


def prepare_endless(
    context: Context, service: str, what: str, timeout_ms: int = LONG_MS
) -> None:
    async def with_endless(world: World) -> None:
        routes = [
            {**route, 'timeoutMs': timeout_ms} for route in manifest()['routes']
        ]
        world.store.put('op/config', manifest(2, routes=routes))
        await build(service, 1, 1, world)
        listener = open_listener(LOOPBACK, free_port())
        port = listener.getsockname()[1]
        context.endless = EndlessRunner(what)
        serving = await curio.spawn(context.endless.serve, listener)
        world.tasks.append(serving)
        runner = world.runners['i-0']
        context.working_address = runner.address
        runner.address = f'{LOOPBACK}:{port}'
        world.register('i-0', service)
        node = world.nodes['n-0']
        await world.until(
            lambda: address_of(node, 'i-0') == runner.address,
        )

    context.build = with_endless
    context.prepare = []
    context.afterwards = send_other_request


def address_of(node: object, identity: str) -> str:
    endpoints = node.platform_state.registry.endpoints
    return endpoints[identity].record.address if identity in endpoints else ''


async def count_sent(context: Context) -> None:
    await curio.sleep(0.3)
    context.sent = context.endless.sent
    context.closed = context.endless.closed


async def send_other_request(context: Context) -> None:
    """Replace the endpoint by one that works and send another request."""
    await count_sent(context)
    world = context.world
    world.runners['i-0'].address = context.working_address
    world.register('i-0', 'plain', born=2)
    node = world.nodes['n-0']
    await world.until(
        lambda: address_of(node, 'i-0') == context.working_address
    )
    context.other = await world.ask('n-0', '/read/z', 'at-other')


@when('a client asks for 1 stream')
def step_stream(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answers = [
            await world.ask(
                'n-0', '/stream/a', 'at-0', deadline_ms=LONG_MS, **PROMPT
            )
        ]

    run(context, scenario)


@when('a client that waits for {seconds:d} seconds makes a {kind}')
def step_patient(context: Context, seconds: int, kind: str) -> None:
    async def scenario(world: World) -> None:
        context.answer = None
        deadline_ms = seconds * 1000
        async with curio.ignore_after(seconds):
            context.answer = await world.ask(
                'n-0', f'/{kind}/a', 'at-0', deadline_ms=deadline_ms, **PROMPT
            )

    run(context, scenario)


@then('its answer or its connection ended at most {seconds:g} seconds later')
def step_ended(context: Context, seconds: float) -> None:
    assert context.answer is not None, 'the client gave up'
    assert context.answer.seconds <= seconds, context.answer


@when('a client asks for a stream of 3 events, one each 2.5 seconds')
def step_slow(context: Context) -> None:
    async def scenario(world: World) -> None:
        runner = world.runners['i-0']
        runner.length = 3
        runner.event_seconds = 2.5
        context.answer = await world.ask(
            'n-0', '/stream/a', 'at-0', deadline_ms=LONG_MS, **PROMPT
        )

    run(context, scenario)


@then('no client got a complete answer')
def step_none_complete(context: Context) -> None:
    assert not [each for each in context.answers if each.whole], context.answers


@then('the node closed the connection after reading at most {megabytes:d} MB')
def step_closed(context: Context, megabytes: int) -> None:
    assert context.closed >= 1
    assert context.sent <= megabytes * MEGABYTE, context.sent


@then('the node serves other requests')
def step_serves(context: Context) -> None:
    assert context.other.status == 200, context.other
