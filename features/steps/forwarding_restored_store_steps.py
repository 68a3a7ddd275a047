"""Steps for a store that is restored from an earlier copy of itself."""

from functools import partial
from typing import Any

import curio
from behave import then, when
from behave.runner import Context

from steps.forwarding_knowledge_steps import with_route
from support.fleet.scenario import all_runs, asks, run, seconds_until
from support.fleet.world import World, manifest

#: How long the store is away before it is back from its copy, in seconds.
AWAY_SECONDS = 0.4
#: Writes that raise the revision after the copy was made.
LATER_WRITES = 30
WITHDRAWN = {'tenants': [{'name': 'firm', 'apiKeys': ['key-2']}]}


def write_much(world: World) -> None:
    for number in range(LATER_WRITES):
        world.store.put('op/other', {'number': number})


async def restore(world: World, backup: Any) -> None:
    """Take the store away for a moment and let it go on from a copy."""
    world.store.mode = 'reset'
    await curio.sleep(AWAY_SECONDS)
    world.store.restore(backup)
    world.store.mode = ''


async def time_new_route(context: Context, world: World) -> None:
    context.took = {
        node: await seconds_until(
            world, partial(asks, world, node, '/more/a', 200), 5
        )
        for node in world.nodes
    }


def with_route_as(version: int) -> dict[str, Any]:
    return {**with_route(), 'version': version}


@when(
    'the store is restored, the operator writes version 5 again and then'
    ' version 6 with a route'
)
def step_newer_version(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        world.store.put('op/config', manifest(5))
        await curio.sleep(1)
        await restore(world, backup)
        world.store.put('op/config', manifest(5))
        await curio.sleep(0.5)
        world.store.put('op/config', with_route_as(6))
        await time_new_route(context, world)

    run(context, scenario)


@when(
    'the store is restored and the operator writes version 5 again with a route'
)
def step_other_content(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        world.store.put('op/config', manifest(5))
        await curio.sleep(1)
        await restore(world, backup)
        await curio.sleep(0.5)
        world.store.put('op/config', with_route_as(5))
        await time_new_route(context, world)

    run(context, scenario)


@when('the store is restored and passes its old revision before any node asks')
def step_passes_revision(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        await curio.sleep(1)
        world.store.mode = 'silent'
        await curio.sleep(AWAY_SECONDS)
        world.store.restore(backup)
        world.store.put('op/config', with_route_as(6))
        write_much(world)
        write_much(world)
        world.store.mode = ''
        await time_new_route(context, world)

    run(context, scenario)


@when('the store is unreachable for one node, restored, and a route is added')
def step_cut_from_store(context: Context) -> None:
    async def scenario(world: World) -> None:
        client = world.nodes['n-1'].follower.store.client
        client.address = '127.0.0.1:1'
        await client.close()
        backup = world.store.back_up()
        write_much(world)
        await curio.sleep(1)
        await restore(world, backup)
        await curio.sleep(0.5)
        world.store.put('op/config', with_route_as(6))
        await time_new_route(context, world)

    run(context, scenario)


@when('the store is restored twice and a route is added')
def step_twice(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        for _ in range(2):
            write_much(world)
            await curio.sleep(0.6)
            await restore(world, backup)
        world.store.put('op/config', with_route_as(6))
        await time_new_route(context, world)

    run(context, scenario)


@when(
    'the store is restored from before a key was withdrawn and another node'
    ' starts'
)
def step_key_withdrawn(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        world.store.put('op/config', manifest(5, **WITHDRAWN))
        await curio.sleep(1)
        await restore(world, backup)
        await world.add_node('n-9')
        await curio.sleep(1.5)
        for _ in range(10):
            for node in world.nodes:
                await asks(world, node, '/read/a', 401)
            await curio.sleep(0.1)
        context.ran = all_runs(world)

    run(context, scenario)


@then('no node serves the key')
@then('no call is served')
def step_none_ran(context: Context) -> None:
    assert not context.ran, context.ran


@when('the store is restored from before an endpoint left')
def step_endpoint_left(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        world.register('i-0', 'plain', 'draining')
        await curio.sleep(0.5)
        world.store.drop('servers/i-0')
        await curio.sleep(0.5)
        await restore(world, backup)
        await call_for(context, world, 3)
        context.late = len(world.runners['i-0'].arrivals)

    run(context, scenario)


async def call_for(context: Context, world: World, seconds: float) -> None:
    """Send a call to each node in turn, ten times a second."""
    context.answers = []
    for number in range(int(seconds * 10)):
        node = f'n-{number % len(world.nodes)}'
        answer = await world.ask(node, '/read/a', f'at-{number}')
        context.answers.append(answer.status)
        await curio.sleep(0.1)


@then('that endpoint gets no request')
def step_no_request(context: Context) -> None:
    assert context.late == 0, context.late
    assert set(context.answers) == {200}, context.answers


@when('the store is restored from before the endpoint was registered')
def step_not_in_copy(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        backup.items.pop('servers/i-0')
        write_much(world)
        await curio.sleep(1)
        await restore(world, backup)
        writing = await curio.spawn(register_after, world, 1.5)
        await call_for(context, world, 4)
        await writing.join()

    run(context, scenario)


async def register_after(world: World, seconds: float) -> None:
    await curio.sleep(seconds)
    world.register('i-0', 'plain')


@then('each call in the next 4 seconds is served')
def step_all_served(context: Context) -> None:
    assert set(context.answers) == {200}, context.answers


@when('the store is restored without an endpoint that does not come back')
def step_never_back(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        backup.items.pop('servers/i-0')
        write_much(world)
        await curio.sleep(1)
        await restore(world, backup)
        await curio.sleep(4)
        context.known = [
            node.platform_state.registry.endpoints
            for node in world.nodes.values()
        ]

    run(context, scenario)


@then("that endpoint is in no node's registry after 4 seconds")
def step_gone(context: Context) -> None:
    assert all(list(known) == ['i-1'] for known in context.known)


@when('the store is restored from before the zone was closed')
def step_zone_closed(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        world.store.put('op/evacuate/a', {})
        await curio.sleep(1)
        await restore(world, backup)
        writing = await curio.spawn(close_zone_after, world, 1.5)
        for number in range(12):
            await asks(world, f'n-{number % 2}', '/read/a', 503)
            await curio.sleep(0.1)
        await writing.join()
        context.ran = all_runs(world)

    run(context, scenario)


async def close_zone_after(world: World, seconds: float) -> None:
    await curio.sleep(seconds)
    world.store.put('op/evacuate/a', {})


@when('the store is restored from before the nodes registered')
def step_no_records(context: Context) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        for key in tuple(backup.items):
            if key.startswith('turmericyard/'):
                backup.items.pop(key)
        backup.leases.clear()
        write_much(world)
        await curio.sleep(1)
        await restore(world, backup)
        await curio.sleep(2)
        items = world.store.items
        context.leased = {
            key.rpartition('/')[2]: items[key].lease in world.store.leases
            for key in items
            if key.startswith('turmericyard/')
        }
        context.nodes = set(world.nodes)

    run(context, scenario)


@then("each node's record is in the store under a lease within 2 seconds")
def step_leased(context: Context) -> None:
    assert context.leased == dict.fromkeys(context.nodes, True)


@when('the store is restored and then names the era "{era}"')
def step_odd_era(context: Context, era: str) -> None:
    async def scenario(world: World) -> None:
        backup = world.store.back_up()
        write_much(world)
        await curio.sleep(1)
        await restore(world, backup)
        await curio.sleep(0.8)
        world.store.era = None if era == 'none' else era
        world.store.put('op/config', with_route_as(6))
        await time_new_route(context, world)
        context.eras = eras(world)

    run(context, scenario)


def eras(world: World) -> set[int]:
    return {node.platform_state.view.era for node in world.nodes.values()}


@then('every node is in era {era:d}')
def step_in_era(context: Context, era: int) -> None:
    assert context.eras == {era}, context.eras


@when('the store is restored and answers of the era before follow')
def step_late_answers(context: Context) -> None:
    async def scenario(world: World) -> None:
        old = world.store.back_up()
        world.store.put('op/config', manifest(5, **WITHDRAWN))
        await curio.sleep(0.5)
        for _ in range(2):
            await restore(world, world.store.back_up())
        await curio.sleep(1)
        world.store.restore(old)
        world.store.era = '1'
        await curio.sleep(1)
        context.eras = eras(world)
        for node in world.nodes:
            await asks(world, node, '/read/a', 401)
        context.ran = all_runs(world)

    run(context, scenario)
