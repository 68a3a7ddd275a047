"""Steps for learned speeds in a fleet."""

from functools import partial
from random import Random
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from steps.forwarding_knowledge_steps import logged
from steps.forwarding_metrics_steps import PREFIX
from support.fleet.scenario import PROMPT, build, run
from support.fleet.world import World, manifest
from turmericyard_decisions.endpoint_speed import USUAL_SPEED
from turmericyard_node.events import Event
from turmericyard_node.forwarding.balancing.gap_meter import GapMeter
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.load_tracker import LoadTotal
from turmericyard_protocol.fleet_messages import EndpointPace, PlaceRequest

ENGINES = 3
EVENTS = 40
STREAMS = 9
PLACEMENTS = 200
SLOW = 'i-0'


@given('engines with resumable streams and a second node')
def step_resumable(context: Context) -> None:
    async def whole(world: World) -> None:
        world.store.put('op/config', manifest(2, resumable=True))
        await build('engines', ENGINES, 2, world)

    context.build = whole
    context.prepare = []


@given('plain endpoints and 3 nodes beside engines with resumable streams')
def step_plain(context: Context) -> None:
    async def whole(world: World) -> None:
        world.store.put('op/config', manifest(2, resumable=True))
        await build('plain', ENGINES, 3, world)

    context.build = whole
    context.prepare = []


async def ask_streams(world: World) -> None:
    """Let one node ask for streams at engines of which one is slow."""
    for runner in world.runners.values():
        runner.length = EVENTS
    world.runners[SLOW].event_seconds *= 3
    asking = [
        await curio.spawn(
            partial(world.ask, 'n-0', '/stream/a', f'at-{number}', **PROMPT)
        )
        for number in range(STREAMS)
    ]
    for task in asking:
        answer = await task.join()
        assert answer.whole, answer.error


@when(
    'an engine takes 3 times as long for its events while one node asks for'
    ' streams'
)
def step_slow(context: Context) -> None:
    async def scenario(world: World) -> None:
        reports: list[Any] = []
        other = world.nodes['n-1'].fleet
        receive = other.answer

        async def keep(payload: Any, sender: str) -> Any:
            reports.extend(getattr(payload, 'paces', ()))
            return await receive(payload, sender)

        other.mesh.receiver = keep
        await ask_streams(world)
        # Heartbeats are sent twice a second.
        await curio.sleep(1)
        context.reports = reports
        context.speeds = other.paces.learned_speeds()
        selector = world.nodes['n-1'].room.placement.endpoint_selector
        observe_slow(selector)
        context.placements = [
            place_at_random(selector, paces) for paces in (other.paces, None)
        ]

    run(context, scenario)


def observe_slow(selector: EndpointSelector) -> None:
    """Make an engine slow for a selector, whatever it has learned."""
    endpoint = selector.platform_state.registry.endpoints[SLOW]
    learned = selector.paces.known_speed(endpoint).learned
    for _ in range(10):
        learned.observe(100, 0.3, selector.clock())


def place_at_random(selector: EndpointSelector, paces: Any) -> list[str]:
    """Return the places of generations with random loads, the same ones."""
    random = Random(1)
    selector.random = Random(2)
    selector.paces = paces
    places = []
    for number in range(PLACEMENTS):
        for identity in selector.platform_state.registry.endpoints:
            selector.loads.peer_totals[identity] = LoadTotal(
                random.randint(0, 4), 0, random.uniform(0, 20_000), 0, 0
            )
        request = PlaceRequest('engines', 'a', 500, 900, (), f'at-{number}')
        places.append(selector.place_for_peer(request).identity)
    selector.loads.peer_totals.clear()
    return places


@then('the other node knows that this engine is slower')
def step_known(context: Context) -> None:
    speeds = dict(context.speeds)
    slow = speeds.pop(SLOW)
    assert len(speeds) == ENGINES - 1, context.speeds
    assert slow < 0.6 * min(speeds.values()), context.speeds


@then('random placements differ from those without learned speeds')
def step_differ(context: Context) -> None:
    paced, plain = context.placements
    assert paced.count(SLOW) < plain.count(SLOW), (paced, plain)


@then('random placements are the same as without learned speeds')
def step_same(context: Context) -> None:
    paced, plain = context.placements
    assert paced == plain
    assert len(set(plain)) == ENGINES, plain


@then('no node has learned a speed or reported one')
def step_nothing(context: Context) -> None:
    assert not context.reports, context.reports
    assert not context.speeds, context.speeds


@then('the metrics show the speed of {count:d} engines')
def step_metrics(context: Context, count: int) -> None:
    name = f'{PREFIX}engine_speed{{'
    found = [
        line for line in context.metrics.split('\n') if line.startswith(name)
    ]
    assert len(found) == count, context.metrics


@when(
    'events arrive after waits of "{waits}" ms and the client takes "{reads}"'
    ' ms for each'
)
def step_gaps(context: Context, waits: str, reads: str) -> None:
    meter = GapMeter()
    now = 0.0
    context.gap = None
    pairs = zip(waits.split(), reads.split(), strict=True)
    for number, (wait, read) in enumerate(pairs, 1):
        meter.begin_wait(now)
        now += float(wait)
        context.gap = meter.observe(SLOW, number, now) or context.gap
        now += float(read)


@then('the measured gap is {gap} ms')
def step_gap(context: Context, gap: str) -> None:
    expected = None if gap == 'none' else float(gap)
    assert context.gap == expected, context.gap


@when(
    'a peer reports {events:d} events in {microseconds:d} microseconds with'
    ' {running:d} running'
)
def step_report(
    context: Context, events: int, microseconds: int, running: int
) -> None:
    async def scenario(world: World) -> None:
        paces = world.nodes['n-0'].fleet.paces
        context.logged = []
        with logged(Event.PACE_REFUSED, context.logged):
            for _ in range(2):
                paces.receive(
                    'n-1', (EndpointPace(SLOW, events, microseconds, running),)
                )
        context.speeds = paces.learned_speeds()

    run(context, scenario)


@then('the report is ignored with a log event')
def step_ignored(context: Context) -> None:
    assert not context.speeds, context.speeds
    assert len(context.logged) == 1, context.logged


@when('a peer reports slow events of an engine, and the engine restarts')
def step_restart(context: Context) -> None:
    async def scenario(world: World) -> None:
        node = world.nodes['n-0']
        paces = node.fleet.paces
        registry = node.platform_state.registry
        for _ in range(10):
            paces.receive('n-1', (EndpointPace(SLOW, 100, 10_000_000, 100),))
        context.before = paces.speed(registry.endpoints[SLOW])
        world.register(SLOW, 'engines', born=2)
        await world.until(lambda: registry.endpoints[SLOW].record.born == 2)
        context.after = paces.speed(registry.endpoints[SLOW])

    run(context, scenario)


@then('its speed is the usual one')
def step_usual(context: Context) -> None:
    assert context.before < 0.5, context.before
    assert context.after == USUAL_SPEED, context.after


@when(
    '{nodes:d} nodes make {count:d} calls each while one of three endpoints is'
    ' in their zone'
)
def step_calls(context: Context, nodes: int, count: int) -> None:
    async def scenario(world: World) -> None:
        for identity in ('i-1', 'i-2'):
            world.register(identity, 'plain', zone='b')
        for node in world.nodes.values():
            endpoints = node.platform_state.registry.endpoints
            await world.until(
                lambda found=endpoints: found['i-2'].record.zone == 'b'
            )
        # A preferred endpoint is kept for half a second. Calls of the route are
        # not repeated, which would make more of them on a busy machine.
        await curio.sleep(0.6)
        for number in range(nodes * count):
            node = f'n-{number % nodes}'
            await world.ask(node, '/write/a', f'at-{number}')
        context.calls = [len(each.ran) for each in world.runners.values()]

    run(context, scenario)


@then('the endpoints got "{calls}" calls')
def step_spread(context: Context, calls: str) -> None:
    assert ' '.join(map(str, context.calls)) == calls, context.calls
