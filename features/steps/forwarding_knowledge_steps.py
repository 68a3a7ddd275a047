"""Steps for the state of the platform that nodes keep."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import curio
import eliot
from behave import then, when
from behave.runner import Context
from msgspec.structs import replace
from returns.result import Success

from support.fleet.scenario import (
    all_runs,
    asks,
    run,
    seconds_until,
)
from support.fleet.world import World, manifest
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request
from turmericyard_node.events import Event
from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.hub_choice import HUBS

#: Calls made to check whether an endpoint still gets any.
PROBES = 12
#: Interval of renewals, in seconds: those of all endpoints of a small fleet.
RENEWAL_SECONDS = 0.1


def with_route() -> dict[str, Any]:
    added = manifest(5)
    added['routes'].append(
        {**added['routes'][0], 'name': 'more', 'pathPrefix': '/more/'}
    )
    return added


@when('the store is {trouble} for 2 seconds and a route is added after it')
def step_store_fails(context: Context, trouble: str) -> None:
    async def scenario(world: World) -> None:
        if trouble == 'compacted':
            world.store.put('op/other', {})
            world.store.compact()
            world.store.put('op/another', {})
            world.store.compact()
        else:
            world.store.mode = trouble
            await curio.sleep(2)
            world.store.mode = ''
        world.store.put('op/config', with_route())
        context.took = {
            node: await seconds_until(
                world, partial(asks, world, node, '/more/a', 200), 5
            )
            for node in world.nodes
        }

    run(context, scenario)


@when(
    'no hub gets an answer of the store and {seconds:g} seconds later a route'
    ' is added'
)
def step_hubs_cut_off(context: Context, seconds: float) -> None:
    async def no_answer(_request: Request) -> None:
        await curio.sleep(1000)

    async def scenario(world: World) -> None:
        renewing = await curio.spawn(renew_records, world, daemon=True)
        await world.until(lambda: has_settled(world))
        hubs = next(iter(world.nodes.values())).fleet.hub_choice.names
        world.store_answers.update(dict.fromkeys(hubs, no_answer))
        await curio.sleep(seconds)
        world.store.put('op/config', with_route())
        began = boot_seconds()
        context.took = {}
        for node in world.nodes.values():
            await world.until(partial(has_version, node, 5))
            context.took[node.settings.node] = boot_seconds() - began
        await renewing.cancel()

    run(context, scenario)


async def renew_records(world: World) -> None:
    """Renew the records of the endpoints, as live ones do."""
    while True:
        for identity in world.runners:
            world.register(identity, 'plain')
        await curio.sleep(RENEWAL_SECONDS)


def has_settled(world: World) -> bool:
    """Return whether all nodes have the same hubs and only these read."""
    nodes = world.nodes.values()
    return len(
        {tuple(node.fleet.hub_choice.names) for node in nodes}
    ) == 1 and (
        sum(node.fleet.hub_choice.follows_store() for node in nodes) == HUBS
    )


def has_version(node: ForwardingApplication, version: int) -> bool:
    table = node.platform_state.route_table
    return table is not None and table.configuration.version >= version


@then('every node serves the new route within {seconds:g} seconds')
def step_in_force(context: Context, seconds: float) -> None:
    assert max(context.took.values()) <= seconds, context.took


@when('the store is unreachable for one node and a key is withdrawn')
def step_store_unreachable(context: Context) -> None:
    async def scenario(world: World) -> None:
        store = world.nodes['n-1'].follower.store
        store.client.address = '127.0.0.1:1'
        await store.client.close()
        await curio.sleep(0.5)
        changed = manifest(5, tenants=[{'name': 'firm', 'apiKeys': ['key-2']}])
        world.store.put('op/config', changed)
        context.took = await seconds_until(
            world, partial(asks, world, 'n-1', '/read/a', 401), 8
        )

    run(context, scenario)


@then('that node serves within {seconds:d} seconds')
@then('that node refuses the key within {seconds:d} seconds')
def step_in_time(context: Context, seconds: int) -> None:
    assert context.took <= seconds, context.took


@when('the store goes down and another node starts')
def step_late_start(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.mode = 'busy'
        await curio.sleep(0.3)
        await world.add_node('n-9')
        context.took = await seconds_until(
            world, partial(asks, world, 'n-9', '/read/a', 200), 8
        )

    run(context, scenario)


@when(
    'another node starts alone and its settings then list the first one as a'
    ' seed'
)
def step_new_seeds(context: Context) -> None:
    async def scenario(world: World) -> None:
        first = world.nodes.pop('n-0')
        node = await world.add_node('n-9')
        world.nodes['n-0'] = first
        await curio.sleep(0.3)
        seeds = (first.settings.control,)
        changed = Success(replace(node.settings, seeds=seeds))
        node.discovery.read_settings = lambda: changed

        async def known() -> bool:
            return 'n-0' in node.fleet.membership.members

        context.took = await seconds_until(world, known, 4)

    run(context, scenario)


@then('it knows the first node within {seconds:d} seconds')
def step_knows(context: Context, seconds: int) -> None:
    assert context.took <= seconds, context.took


async def arrivals_at_first(world: World) -> int:
    """Return how many of `PROBES` calls through two nodes reach `i-0`."""
    before = len(world.runners['i-0'].arrivals)
    for number in range(PROBES):
        await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
    return len(world.runners['i-0'].arrivals) - before


@when('an endpoint announces that it leaves')
def step_leaves(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.register('i-0', 'plain', 'draining')
        await curio.sleep(1)
        context.late = await arrivals_at_first(world)

    run(context, scenario)


@when(
    'an endpoint leaves while watches return nothing for 2 seconds'
    ' and the history is compacted'
)
def step_missed_by_watches(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.deaf = True
        world.register('i-0', 'plain', 'draining')
        await curio.sleep(2)
        world.store.compact()
        world.store.deaf = False
        await curio.sleep(1)
        context.late = await arrivals_at_first(world)

    run(context, scenario)


@when('the store fails for 2 seconds and 3 seconds later a record is removed')
def step_removed(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.mode = 'busy'
        await curio.sleep(2)
        world.store.mode = ''
        await curio.sleep(3)
        world.store.drop('servers/i-0')
        await curio.sleep(1)
        context.late = await arrivals_at_first(world)

    run(context, scenario)


@then('it gets no request later than 1 second after that')
def step_no_late(context: Context) -> None:
    assert context.late == 0


@when('the records of all endpoints lapse while the store is down')
def step_lapse(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.mode = 'busy'
        await curio.sleep(0.5)
        for identity in world.runners:
            world.store.drop(f'servers/{identity}')
        context.answers = [await world.ask('n-0', '/read/a', 'at-0')]
        world.store.mode = ''
        await curio.sleep(1)
        context.answers.append(await world.ask('n-0', '/read/a', 'at-1'))
        for identity in world.runners:
            world.register(identity, 'plain')
        await curio.sleep(2.5)
        context.answers.append(await world.ask('n-0', '/read/a', 'at-2'))

    run(context, scenario)


@then('calls are served during the outage and after the records are back')
def step_lapse_served(context: Context) -> None:
    assert [each.status for each in context.answers] == [200] * 3


@when('the zone of all endpoints is closed')
def step_close(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.put('op/evacuate/a', {})
        await curio.sleep(1)
        context.answers = [
            await world.ask(node, '/read/a', f'at-{node}')
            for node in world.nodes
        ]

    run(context, scenario)


@then('calls are refused within 1 second with a time to retry')
def step_closed(context: Context) -> None:
    assert {each.status for each in context.answers} == {503}
    assert all('retry-after' in each.headers for each in context.answers)
    assert max(each.seconds for each in context.answers) <= 1


@when('records that cannot be decoded appear')
def step_other_writers(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.put('servers/i-0', b'\xff\xfe not json')
        world.register('i-0', 'plain')
        for number, value in enumerate(
            (
                b'\xff\xfe',
                b'[]',
                json.dumps({'service': 'plain'}).encode(),
                json.dumps(
                    {
                        'service': 'plain',
                        'address': 7,
                        'zone': 'a',
                        'slots': 'many',
                        'state': 'ready',
                    }
                ).encode(),
                json.dumps(
                    {
                        'service': 'plain',
                        'address': '127.0.0.1:1',
                        'zone': 'a',
                        'slots': 4,
                        'state': 'odd',
                    }
                ).encode(),
            )
        ):
            world.store.put(f'servers/x-{number}', value)
        await curio.sleep(0.6)
        context.answers = [
            await world.ask('n-0', '/read/a', f'at-{number}')
            for number in range(6)
        ]
        context.known = set(
            world.nodes['n-0'].platform_state.registry.endpoints
        )

    run(context, scenario)


NESTED = '[' * 20_000 + ']' * 20_000
ODD_RECORDS = {
    'deep nesting': ('x', NESTED),
    'deep nesting in a field': ('x', '{%s, "other": ' + NESTED + '}'),
    'a huge number': ('x', '{%s, "slots": 1' + '0' * 400 + '}'),
    'a huge start': ('x', '{%s, "born": 1' + '0' * 40 + '}'),
    'an endless cold start': ('x', '{%s, "coldRemainingMs": 1e300}'),
    'a port out of range': ('x', '{%s, "address": "127.0.0.1:99999"}'),
    'an impossible address': ('x', '{%s, "address": "127.0.0.999:80"}'),
    'a line break in its id': ('x\r\ny', '{%s}'),
}
COMMON = '"service": "plain", "address": "127.0.0.1:9", "zone": "a",' + (
    ' "slots": 8, "state": "ready"'
)


@when('a record with {kind} appears among those of the endpoints')
def step_odd_record(context: Context, kind: str) -> None:
    async def scenario(world: World) -> None:
        identity, value = ODD_RECORDS[kind]
        encoded = value.replace('%s', COMMON).encode()
        world.store.put(f'servers/{identity}', encoded)
        await curio.sleep(0.6)
        context.answers = [
            await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
            for number in range(12)
        ]
        context.known = set(
            world.nodes['n-0'].platform_state.registry.endpoints
        )
        world.store.put(f'servers/{identity}', encoded)
        world.store.put('op/config', with_route())
        context.took = {
            node: await seconds_until(
                world, partial(asks, world, node, '/more/a', 200), 5
            )
            for node in world.nodes
        }

    failed: list[Any] = []
    with logged(Event.HANDLER_FAILED, failed):
        run(context, scenario)
    assert not failed, failed


@contextmanager
def logged(event: Event, messages: list[Any]) -> Iterator[None]:
    """Collect the log messages of one event."""

    def collect(message: dict[str, Any]) -> None:
        if message.get('event') == event.value[0]:
            messages.append(message)

    eliot.add_destinations(collect)
    try:
        yield
    finally:
        eliot.remove_destination(collect)


@then('calls reach only the one endpoint')
def step_one_only(context: Context) -> None:
    assert {each.status for each in context.answers} == {200}
    assert context.known == {'i-0'}


@when('a node is told to stop while a call is in progress')
def step_stop(context: Context) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.event_seconds = 0.6
        asking = await curio.spawn(world.ask, 'n-0', '/write/a', 'at-1')
        await world.until(lambda: bool(all_runs(world)))
        stopped_node = world.nodes.pop('n-0')
        stopping = await curio.spawn(stopped_node.stop)
        context.answers = [await asking.join()]
        await curio.sleep(0.5)
        fleet = world.nodes['n-1'].fleet
        context.ready = stopped_node.is_ready()
        context.named = fleet.addresses('a')
        context.stopped_address = stopped_node.settings.callers
        await stopping.join()

    run(context, scenario)


@then('the call was answered 200')
def step_answered(context: Context) -> None:
    assert [each.status for each in context.answers] == [200]
    assert context.answers[0].headers.get('connection') == 'close'


@then('the other node no longer lists its address')
def step_unnamed(context: Context) -> None:
    assert context.stopped_address not in context.named
    assert context.named


@then('it is not ready')
def step_unready(context: Context) -> None:
    assert not context.ready
