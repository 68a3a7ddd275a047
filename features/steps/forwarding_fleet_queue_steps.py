"""Steps for the queue of a fleet."""

from functools import partial
from typing import Any
from unittest.mock import patch

import curio
from behave import given, then, when
from behave.runner import Context
from msgspec.structs import replace
from prometheus_client.parser import text_string_to_metric_families

from support.fleet.scenario import PROMPT, all_runs, build, run
from support.fleet.world import World, manifest
from turmericyard_node.forwarding.admission.granted_places import (
    EXPIRY_SECONDS,
)
from turmericyard_node.forwarding.admission.queue_input import read_request
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.hub import GRANT_SECONDS
from turmericyard_node.forwarding.hub_choice import HUBS
from turmericyard_protocol.fleet_messages import (
    PlaceEnd,
    PlaceOffer,
    PlaceRequest,
)

HANG_SECONDS = 1000
#: Time after which a hub takes the load of its nodes as known.
KNOWN_SECONDS = 1.3
WORKSPACES = [
    {'name': 'usual', 'apiKeys': ['key-1'], 'priority': 2},
    {'name': 'urgent', 'apiKeys': ['key-2'], 'priority': 0},
]
ASK = PlaceRequest(
    'engines', 'a', 2000, 2400, (), 'at-x', (), (2, 0), 'usual', 'streams',
    500, 0, 900,
)  # fmt: skip


@given('a fleet of {nodes:d} nodes with a queue')
def step_fleet(context: Context, nodes: int) -> None:
    context.build = partial(build_fleet, nodes)
    context.prepare = []


async def build_fleet(nodes: int, world: World) -> None:
    configuration = manifest(2, resumable=True, tenants=WORKSPACES)
    for route in configuration['routes']:
        route.update(targetLatencyMs=2500, timeoutMs=20_000)
    world.store.put('op/config', configuration)
    await build('engines', 4, nodes, world)
    await world.until(lambda: len(hubs(world)) == min(HUBS, nodes))
    await curio.sleep(KNOWN_SECONDS)
    for runner in world.runners.values():
        runner.length = 2


def hubs(world: World) -> list[str]:
    return world.nodes['n-0'].fleet.hub_choice.names


def queue_of(world: World, node: str) -> Any:
    return world.nodes[node].room.placement.queue.hub_queue


def plain_node(world: World) -> str:
    return next(name for name in world.nodes if name not in hubs(world))


def no_room() -> Any:
    return patch.object(EndpointSelector, 'choose', return_value=None)


async def ask(world: World, node: str, attempt: str, **headers: str) -> Any:
    asking = partial(
        world.ask,
        node,
        '/stream/a',
        attempt,
        deadline_ms=20_000,
        **PROMPT,
        **headers,
    )
    return await curio.spawn(asking)


async def ask_many(world: World, node: str, count: int) -> list[Any]:
    """Start requests and return their tasks once all wait at a hub.

    A reply that is late on a busy machine moves some to the second hub.
    """
    tasks = [await ask(world, node, f'at-{each}') for each in range(count)]
    queues = [queue_of(world, hub) for hub in hubs(world)]
    await world.until(
        lambda: sum(len(queue.messages) for queue in queues) == count
    )
    return tasks


@when('a usual request of one node waits, then an urgent one of another')
def step_urgent(context: Context) -> None:
    async def scenario(world: World) -> None:
        first = queue_of(world, hubs(world)[0])
        with no_room():
            usual = await ask(world, plain_node(world), 'usual')
            await world.until(lambda: len(first.messages) == 1)
            urgent = await ask(
                world, hubs(world)[1], 'urgent', authorization='Bearer key-2'
            )
            await world.until(lambda: len(first.messages) == 2)
            context.order = [
                each.attempt
                for each in first.services['engines'].queue.in_order(0)
            ]
        for task in (usual, urgent):
            assert (await task.join()).whole
        await world.until(lambda: not first.granted.places)
        assert not first.messages

    run(context, scenario)


@then('the urgent request ran first')
def step_urgent_first(context: Context) -> None:
    assert context.order == ['urgent', 'usual'], context.order


@when('{count:d} requests of one node wait and the first hub {fault}')
def step_hub_lost(context: Context, count: int, fault: str) -> None:
    async def scenario(world: World) -> None:
        node = plain_node(world)
        first, second = hubs(world)
        with no_room():
            tasks = await ask_many(world, node, count)
            started = await curio.clock()
            if fault == 'dies':
                await world.kill(world.nodes.pop(first))
            else:
                world.nodes[first].fleet.mesh.receiver = hang
                tasks.append(await ask(world, node, 'one-more'))
            messages = queue_of(world, second).messages
            await world.until(lambda: len(messages) == len(tasks))
            context.seconds = await curio.clock() - started
        context.answers = [await task.join() for task in tasks]

    run(context, scenario)


async def hang(_payload: Any, _sender: str) -> None:
    await curio.sleep(HANG_SECONDS)


@then('all waited at the second hub within {seconds:g} s')
def step_moved(context: Context, seconds: float) -> None:
    assert context.seconds <= seconds, context.seconds


@then('each stream was complete and ran once')
def step_each(context: Context) -> None:
    failed = [
        each for each in context.answers if not each.whole or each.status != 200
    ]
    assert not failed, (len(failed), failed[:3])
    runs = all_runs(context.world)
    assert len(runs) == len(set(runs)) == len(context.answers), len(runs)


@when('{count:d} requests of one node wait and their clients disconnect')
def step_disconnect(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        with no_room():
            for task in await ask_many(world, plain_node(world), count):
                await task.cancel()
            await curio.sleep(0.3)
            keep_state(context, hubs(world)[0])

    run(context, scenario)


@when('{count:d} requests wait at the end')
def step_wait_at_end(context: Context, count: int) -> None:
    read_metrics = context.afterwards

    async def scenario(world: World) -> None:
        context.room = no_room()
        context.room.start()
        for number in range(count):
            await ask(world, 'n-0', f'at-{number}')
        queue = queue_of(world, 'n-0')
        await world.until(lambda: len(queue.messages) == count)

    async def read(current: Context) -> None:
        try:
            await read_metrics(current)
        finally:
            context.room.stop()

    context.afterwards = read
    run(context, scenario)


@then(
    'the metrics count {count:d} queued requests of rank "{rank}" and workspace'
    ' "{name}"'
)
def step_queued_metric(
    context: Context, count: int, rank: str, name: str
) -> None:
    labels = {'service': 'engines', 'rank': rank, 'workspace': name}
    found = [
        sample.value
        for family in text_string_to_metric_families(context.metrics)
        for sample in family.samples
        if sample.name == 'turmericyard_forwarding_queued'
        and labels.items() <= sample.labels.items()
    ]
    assert found == [count], context.metrics


def keep_state(context: Context, hub: str) -> None:
    """Keep what the hub has of the queue."""
    queue = queue_of(context.world, hub)
    hub_state = queue.granted.hub
    hub_state.expire_grants()
    context.state = (
        len(queue.messages),
        sum(len(each.queue) for each in queue.services.values()),
        len(queue.granted.places),
        hub_state.peer_totals,
    )


@then('the hub has no request, no place and no load')
def step_empty(context: Context) -> None:
    assert context.state == (0, 0, 0, {}), context.state


@when('a stream is requested {where}')
def step_no_queue(context: Context, where: str) -> None:
    async def scenario(world: World) -> None:
        first, node = hubs(world)[0], plain_node(world)
        if where == 'at a hub of form 1':
            for link in world.nodes[node].fleet.mesh.links.values():
                link.channel.form = 1
        else:
            world.store.put('op/config', manifest(3))
            await world.until(
                lambda: not queue_of(world, node).is_enabled('engines')
            )
            await curio.sleep(0.5)
        task = await ask(world, node, 'at-1')
        context.answer = await task.join()
        context.services = queue_of(world, first).services

    run(context, scenario)


@then('the hub has had no queue')
def step_had_no_queue(context: Context) -> None:
    assert not context.services, context.services


@when('a hub grants a place that {fault}')
def step_place(context: Context, fault: str) -> None:
    async def scenario(world: World) -> None:
        first, node = hubs(world)[0], plain_node(world)
        queue = queue_of(world, first)
        request = read_request(ASK, node, queue.clock(), returned=False)
        queue.granted.grant(request, ASK, 'i-0', queue.clock())
        if fault == 'is offered where nothing waits':
            await queue.offer(request, 'i-0')
        elif fault == 'is offered by a hub that was left':
            with no_room():
                task = (await ask_many(world, node, 1))[0]
                waiting = world.nodes[node].room.placement.queue.load().waiting
                taken = await waiting.take('n-x', PlaceOffer('at-0', 'i-0'))
                assert not taken.taken
                await task.cancel()
                await curio.sleep(GRANT_SECONDS)
            await queue.offer(request, 'i-0')
        elif fault == 'is returned twice':
            for _ in range(2):
                queue.end(node, PlaceEnd('i-0', ASK.attempt))
        else:
            await world.kill(world.nodes[node])
            await curio.sleep(GRANT_SECONDS)
            await queue.offer(request, 'i-0')
            queue.granted.expire(queue.clock() + EXPIRY_SECONDS)
        keep_state(context, first)

    run(context, scenario)


@when('a hub gets a request with "{value}" as its {field}')
@when('a hub gets a request with "" as its {field}')
def step_invalid(context: Context, field: str, value: str = '') -> None:
    async def scenario(world: World) -> None:
        first, node = hubs(world)[0], plain_node(world)
        changed = replace(ASK, **{field: int(value) if value else value})
        mesh = world.nodes[node].fleet.mesh
        reply = (await mesh.request(first, changed)).unwrap()
        assert not reply.endpoint and not reply.queued, reply
        keep_state(context, first)

    run(context, scenario)


@when('a hub without heartbeats is asked for a place')
def step_new_hub(context: Context) -> None:
    async def scenario(world: World) -> None:
        node = world.nodes[plain_node(world)]
        queue = queue_of(world, plain_node(world))
        assert not node.fleet.hub.last_heartbeats
        context.first_reply = await queue.answer(ASK, hubs(world)[0])
        context.free_at_once = bool(queue.granted.places)
        for name in hubs(world):
            beat = world.nodes[name].fleet.create_heartbeat('')
            node.fleet.hub.record_heartbeat(name, 'a', beat)
        await world.until(lambda: not queue.messages)

    run(context, scenario)


@then('the place is given once the heartbeats are there')
def step_given(context: Context) -> None:
    assert context.first_reply.queued, context.first_reply
    assert not context.free_at_once
