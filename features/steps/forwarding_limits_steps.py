"""Steps for endpoints that name a limit for all nodes together."""

from itertools import cycle
from typing import Any
from uuid import uuid4

import curio
from behave import then, when
from behave.runner import Context
from hypothesis import given as given_drawn
from hypothesis import seed, settings
from hypothesis import strategies as drawn

from support.fleet.cuts import silence_links
from support.fleet.runner import FleetRunner
from support.fleet.scenario import run
from support.fleet.world import World
from turmericyard_decisions.request_rate import PLACING_SHARE, RequestRate
from turmericyard_fleet.ingress import read_endpoint_report
from turmericyard_node.forwarding.endpoint_registry import EndpointRegistry
from turmericyard_protocol.fleet_messages import EndpointLimit

#: What a platform allows beyond a limit, and in which time, in seconds.
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
WINDOW_SECONDS = 4.0
#: Time after the first answer with a limit from which it binds, in seconds.
KNOWN_SECONDS = 1.0
SEED = 1


async def ask_at_rate(
    context: Context,
    world: World,
    nodes: list[str],
    rate: float,
    seconds: float,
) -> None:
    engines = 'engines' in {
        endpoint.record.service
        for endpoint in world.nodes[
            nodes[0]
        ].platform_state.registry.endpoints.values()
    }
    target = '/stream/a' if engines else '/read/a'
    asked = []
    turns = cycle(nodes)
    for number in range(round(rate * seconds)):
        attempt = f'at-{uuid4().hex}-{number}'
        asked.append(await curio.spawn(world.ask, next(turns), target, attempt))
        await curio.sleep(1 / rate)
    context.answers = [await task.join() for task in asked]


def limit_runners(
    context: Context, world: World, count: int, limit: float
) -> list[FleetRunner]:
    limited = list(world.runners.values())[:count]
    for runner in world.runners.values():
        runner.length = 3
    for runner in limited:
        runner.limit = limit
    context.limited = limited
    context.limit = limit
    return limited


@when(
    '{count:d} of them names a limit of {limit:g} requests a second and'
    ' {rate:g} requests a second reach all nodes for {seconds:g} seconds'
)
@when(
    '{count:d} of them name a limit of {limit:g} requests a second and'
    ' {rate:g} requests a second reach all nodes for {seconds:g} seconds'
)
def step_limited(
    context: Context, count: int, limit: float, rate: float, seconds: float
) -> None:
    async def scenario(world: World) -> None:
        limit_runners(context, world, count, limit)
        await ask_at_rate(context, world, list(world.nodes), rate, seconds)

    run(context, scenario)


@when(
    'the first hub ends while {count:d} of them names a limit of {limit:g}'
    ' requests a second and {rate:g} requests a second reach the other nodes'
)
def step_hub_ends(
    context: Context, count: int, limit: float, rate: float
) -> None:
    async def scenario(world: World) -> None:
        limit_runners(context, world, count, limit)
        hub = next(iter(world.nodes.values())).fleet.hub_choice.names[0]
        others = [name for name in world.nodes if name != hub]
        load = await curio.spawn(ask_at_rate, context, world, others, rate, 9.0)
        await curio.sleep(3)
        node = world.nodes[hub]
        for server in node.servers:
            await server.close()
        await node.tasks.cancel_all()
        await node.fleet.mesh.close()
        await load.join()

    run(context, scenario)


@when(
    'a share of {share:g} of the links falls silent twice while {count:d} of'
    ' them names a limit of {limit:g} requests a second and {rate:g} requests a'
    ' second reach all nodes'
)
def step_links_silent(
    context: Context, share: float, count: int, limit: float, rate: float
) -> None:
    async def scenario(world: World) -> None:
        limit_runners(context, world, count, limit)
        nodes = list(world.nodes)
        load = await curio.spawn(ask_at_rate, context, world, nodes, rate, 9.0)
        for _ in range(2):
            await curio.sleep(3)
            silence_links(world, share)
        await load.join()

    run(context, scenario)


@then('it gets at most its limit with the tolerance in any 4 seconds')
@then('they get at most their limits with the tolerance in any 4 seconds')
def step_within(context: Context) -> None:
    allowed = TOLERANCE * context.limit * WINDOW_SECONDS + EXTRA_REQUESTS
    for runner in context.limited:
        first = min(runner.arrived_at) + KNOWN_SECONDS
        times = [at for at in runner.arrived_at if at >= first]
        most = max(
            (
                sum(at <= each < at + WINDOW_SECONDS for each in times)
                for at in times
            ),
            default=0,
        )
        assert most <= allowed, (runner.identity, most, allowed)


@then('all requests are answered 200')
def step_answered(context: Context) -> None:
    found = [each for each in context.answers if each.status != 200]
    assert not found, (len(found), found[:3])


@then(
    'each request is answered 200, or refused within {seconds:g} seconds with a'
    ' time to retry'
)
def step_refused_soon(context: Context, seconds: float) -> None:
    for answer in context.answers:
        assert answer.status in {200, 503}, answer
        if answer.status == 503:
            assert answer.seconds <= seconds, answer
            assert float(answer.headers['retry-after']) > 0, answer
    assert any(answer.status == 200 for answer in context.answers)


@when('all of them stop naming a limit of {limit:g} request a second')
def step_ends(context: Context, limit: float) -> None:
    async def scenario(world: World) -> None:
        nodes = list(world.nodes)
        limited = limit_runners(context, world, len(world.runners), limit)
        await ask_at_rate(context, world, nodes, 20, 2)
        context.known_before = known_limits(world)
        for runner in limited:
            runner.limit = None
        await ask_at_rate(context, world, nodes, 20, 2)
        context.known_after = known_limits(world)

    run(context, scenario)


def known_limits(world: World) -> list[float | None]:
    return [
        endpoint.requests_per_second
        for node in world.nodes.values()
        for endpoint in node.platform_state.registry.endpoints.values()
    ]


@then('each node knows no limit after 2 seconds of requests')
def step_ended(context: Context) -> None:
    assert set(context.known_before) == {context.limit}, context.known_before
    assert set(context.known_after) == {None}, context.known_after


LIMITS = drawn.lists(
    drawn.builds(
        EndpointLimit,
        drawn.sampled_from(('e-1', 'e-2')),
        drawn.just('10.0.0.1:1'),
        drawn.sampled_from((None, 1, 2)),
        drawn.integers(1, 4),
        drawn.sampled_from((None, 0, 1500, 20_000)),
    ),
    max_size=10,
)


@when(
    '{number:d} random sets of limits reach three registries in different'
    ' orders'
)
def step_orders(context: Context, number: int) -> None:
    context.compared = 0

    def play(limits: list[EndpointLimit], source: Any) -> None:
        found = []
        for _ in range(3):
            registry = EndpointRegistry()
            source.shuffle(limits)
            for limit in limits:
                registry.observe_limit(limit, 0)
            found.append(registry.limits)
        assert found[0] == found[1] == found[2], (limits, found)
        context.compared += 1

    checked = settings(max_examples=number, deadline=None, database=None)
    drawing = given_drawn(LIMITS, drawn.randoms(use_true_random=False))
    seed(SEED)(checked(drawing(play)))()


@when(
    'an endpoint that names a limit of {limit:g} could get requests for a minute'
)
def step_minute(context: Context, limit: float) -> None:
    rate = RequestRate()
    rate.restart(0)
    context.sent = 0
    for tick in range(600):
        if rate.allows(limit, PLACING_SHARE, tick / 10):
            rate.spend()
            context.sent += 1


@then('it gets {least:d} to {most:d} requests')
def step_few(context: Context, least: int, most: int) -> None:
    assert least <= context.sent <= most, context.sent


@then('all registries have the same limits')
def step_same(context: Context) -> None:
    assert context.compared >= 100, context.compared


@when('an endpoint answers with the limit text "{text}"')
def step_text(context: Context, text: str) -> None:
    lines = ((b'server-limit', text.encode()),)
    context.report = read_endpoint_report(200, lines)


@when('an endpoint answers with the limit text ""')
def step_no_text(context: Context) -> None:
    step_text(context, '')


@then('no limit is read from it')
def step_no_limit(context: Context) -> None:
    assert context.report.requests_per_second is None, context.report
