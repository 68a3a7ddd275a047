"""Steps for nodes between the stand-ins of the users' platform."""

import json
from functools import partial
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.runner import FleetRunner
from support.fleet.world import Answer, World, manifest, play

SYSTEM_HEADERS = {
    'x-turmericyard-hold': 'mine',
    'x-turmericyard-pin-ms': '9999',
    'x-turmericyard-kv-backup': '127.0.0.1:1',
    'kv-from': '127.0.0.1:1/x',
    'kv-fetch': '127.0.0.1:1',
}
FAULTS = {
    'turns requests away': 'full',
    'hangs': 'hang',
    'fail': 'error',
    'break off their answers': 'reset',
    'leave their answers unsigned': 'unsigned',
    'answer another request': 'foreign',
}


@given('a world with {count:d} plain endpoints and {nodes:d} node')
@given('a world with {count:d} plain endpoints and {nodes:d} nodes')
def step_plain(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'plain', count, nodes)
    context.prepare = []


@given('a world with {count:d} engines and {nodes:d} node')
def step_engines(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'engines', count, nodes)
    context.prepare = []


@given('a world with {count:d} engines that keep backups and {nodes:d} node')
def step_backups(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'engines', count, nodes, backups=True)
    context.prepare = []


async def build(
    service: str, count: int, nodes: int, world: World, *, backups: bool = False
) -> None:
    if backups:
        world.store.put('op/config', manifest(2, backups=True))
    for number in range(count):
        await world.add_runner(f'i-{number}', service)
    for number in range(nodes):
        await world.add_node(f'n-{number}')
    await world.ready()


def run(context: Context, scenario: Any) -> None:
    """Build the world, apply the faults and play the scenario."""

    async def whole(world: World) -> None:
        context.world = world
        await context.build(world)
        for prepare in context.prepare:
            await prepare(world)
        await scenario(world)

    play(whole)


@given('one endpoint that {fault}')
def step_one_fault(context: Context, fault: str) -> None:
    async def prepare(world: World) -> None:
        runner = world.runners['i-0']
        if fault == 'refuses connections':
            await world.servers.pop('i-0').close()
        elif fault == 'has another identity':
            runner.identity = 'i-other'
        else:
            runner.fault = FAULTS[fault]

    context.prepare.append(prepare)


@given('all endpoints that {fault}')
def step_all_faults(context: Context, fault: str) -> None:
    async def prepare(world: World) -> None:
        for runner in world.runners.values():
            runner.fault = FAULTS[fault]

    context.prepare.append(prepare)


@when('a client calls "{target}" with the body "{body}"')
def step_call(context: Context, target: str, body: str) -> None:
    async def scenario(world: World) -> None:
        context.answer = await world.ask(
            'n-0', target, 'at-1', body=body.encode()
        )

    run(context, scenario)


@when('a client calls with headers that only the system sets')
def step_system_headers(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answer = await world.ask(
            'n-0',
            '/read/a',
            'at-1',
            **{
                key.replace('-', '_'): text
                for key, text in SYSTEM_HEADERS.items()
            },
        )

    run(context, scenario)


@when('a client asks for "{target}" with the key "{key}"')
def step_ask(context: Context, target: str, key: str) -> None:
    async def scenario(world: World) -> None:
        context.answer = await world.ask(
            'n-0', target, 'at-1', authorization=f'Bearer {key}'
        )

    run(context, scenario)


@given('a world whose store is down and {nodes:d} node')
def step_down(context: Context, nodes: int) -> None:
    async def unready(world: World) -> None:
        world.store.mode = 'busy'
        await world.add_node('n-0')

    context.build = unready
    context.prepare = []


@when('a client asks it before it knows a configuration')
def step_early(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answer = await world.ask('n-0', '/read/a', 'at-1')

    run(context, scenario)


@when('a client closes its connection while its {what} runs')
def step_leave(context: Context, what: str) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.event_seconds = 1.0 if what == 'call' else 0.02
            runner.length = 500
        target = '/read/a' if what == 'call' else '/stream/a'
        asking = await curio.spawn(world.ask, 'n-0', target, 'at-1')
        await world.until(lambda: bool(all_runs(world)))
        await curio.sleep(0.1)
        await asking.cancel()
        context.left_at = await curio.clock()
        await world.until(lambda: bool(all_cancelled(world)), 2)
        context.cancelled_after = await curio.clock() - context.left_at

    run(context, scenario)


def all_runs(world: World) -> list[str]:
    return [each for runner in world.runners.values() for each in runner.ran]


def all_cancelled(world: World) -> list[str]:
    return [
        each for runner in world.runners.values() for each in runner.cancelled
    ]


@then("the endpoint's work is cancelled within {seconds:f} seconds")
def step_cancelled(context: Context, seconds: float) -> None:
    assert all_cancelled(context.world) == ['at-1']
    assert context.cancelled_after < seconds, context.cancelled_after


@then('the answer has status {status:d} and the body "{body}"')
def step_answer(context: Context, status: int, body: str) -> None:
    answer: Answer = context.answer
    assert (answer.status, answer.body.decode()) == (status, body), answer


@then('the answer has status {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer


@then('the answer says when to come back')
def step_return(context: Context) -> None:
    assert float(context.answer.headers['retry-after']) > 0


@then('the endpoint got the attempt id, the workspace and its own identity')
def step_got(context: Context) -> None:
    runner, headers = first_arrival(context)
    assert headers['x-turmericyard-attempt-id'] == 'at-1'
    assert headers['x-turmericyard-tenant'] == 'firm'
    assert headers['x-turmericyard-expect-instance'] == runner.identity


@then("the endpoint got no key and at most the client's time")
def step_no_key(context: Context) -> None:
    _, headers = first_arrival(context)
    assert 'authorization' not in headers
    assert 0 < int(headers['x-turmericyard-deadline-ms']) <= 5000


@then('the endpoint got none of them')
def step_none(context: Context) -> None:
    _, headers = first_arrival(context)
    assert not SYSTEM_HEADERS.keys() & headers.keys(), headers


def first_arrival(context: Context) -> tuple[FleetRunner, dict[str, str]]:
    for runner in context.world.runners.values():
        if runner.arrivals:
            return runner, runner.arrivals[0]
    raise AssertionError('no request arrived')


@then('no endpoint got a request')
def step_nothing(context: Context) -> None:
    runners = context.world.runners.values()
    assert not [each for runner in runners for each in runner.arrivals]


@when('a client makes {count:d} {kind} calls')
def step_calls(context: Context, count: int, kind: str) -> None:
    prefix = '/write/' if kind == 'once-only' else '/read/'

    async def scenario(world: World) -> None:
        context.answers = [
            await world.ask('n-0', f'{prefix}{number}', f'at-{number}')
            for number in range(count)
        ]

    run(context, scenario)


@then('each call was answered {status:d}')
def step_each(context: Context, status: int) -> None:
    assert {each.status for each in context.answers} == {status}, (
        context.answers
    )


@then('each call took at most {seconds:f} seconds')
def step_took(context: Context, seconds: float) -> None:
    assert max(each.seconds for each in context.answers) <= seconds


@then('no call ran twice')
def step_once(context: Context) -> None:
    ran = all_runs(context.world)
    assert len(ran) == len(set(ran)), ran


@then('each call ran twice')
def step_twice(context: Context) -> None:
    ran = all_runs(context.world)
    assert all(ran.count(each) == 2 for each in ran), ran
    assert len(set(ran)) == len(context.answers)


@then('no answer promises that it has not run')
def step_promise(context: Context) -> None:
    promised = {408, 421, 429, 503}
    assert not promised & {each.status for each in context.answers}


@then('no client got a success')
def step_no_success(context: Context) -> None:
    whole = [each for each in context.answers if each.whole]
    assert all(each.status >= 500 for each in whole), context.answers


PROMPT = {
    'x_turmericyard_token_count': '2000,400',
    'x_turmericyard_model': 'm',
}


async def stream(world: World, length: int) -> Any:
    """Start a stream and return its task and the runner that has it."""
    for runner in world.runners.values():
        runner.length = length
    asking = await curio.spawn(
        partial(world.ask, 'n-0', '/stream/a', 'at-1', **PROMPT)
    )
    await world.until(lambda: bool(running(world)))
    await curio.sleep(0.3)
    return asking


def running(world: World) -> list[str]:
    return [
        identity
        for identity, runner in world.runners.items()
        if runner.runs and not runner.ended
    ]


async def announce(world: World, identity: str) -> None:
    world.register(identity, 'engines', 'draining')


@when('an engine leaves with notice while it streams {count:d} events')
def step_notice(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        identity = running(world)[0]
        await announce(world, identity)
        await curio.sleep(0.6)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


@when('an engine dies without notice while it streams {count:d} events')
def step_dies(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        await world.end_runner(running(world)[0])
        context.answer = await asking.join()

    run(context, scenario)


@when(
    'two engines leave one after the other while {count:d} events are streamed'
)
def step_two(context: Context, count: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, count)
        for _ in range(2):
            identity = running(world)[0]
            await announce(world, identity)
            await curio.sleep(0.5)
            await world.end_runner(identity)
            await world.until(lambda: bool(running(world)))
        context.answer = await asking.join()

    run(context, scenario)


@when('the backup of a run leaves and then its engine leaves')
def step_backup_leaves(context: Context) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, 60)
        identity = running(world)[0]
        backup = next(
            each for each, runner in world.runners.items() if runner.copies
        )
        await announce(world, backup)
        await curio.sleep(0.2)
        context.gone = world.runners[backup]
        context.arrived = len(context.gone.arrivals)
        await announce(world, identity)
        await curio.sleep(0.5)
        await world.end_runner(identity)
        context.answer = await asking.join()

    run(context, scenario)


@then('no endpoint got a request after it had left for 1.5 seconds')
def step_left(context: Context) -> None:
    assert len(context.gone.arrivals) == context.arrived


def events(body: bytes) -> list[int]:
    return [
        int(line.removeprefix(b'id: '))
        for line in body.split(b'\n')
        if line.startswith(b'id: ')
    ]


@then('the client got {count:d} events, each once and in order')
def step_events(context: Context, count: int) -> None:
    got = events(context.answer.body)
    assert got == list(range(1, count + 1)), (got, context.answer.error)


@then('the client got the first events, each once and in order')
def step_first_events(context: Context) -> None:
    got = events(context.answer.body)
    assert got and got == list(range(1, len(got) + 1)), got


@then('the stream ended whole')
def step_whole(context: Context) -> None:
    assert context.answer.whole, context.answer.error


@then('the stream did not end whole')
def step_not_whole(context: Context) -> None:
    assert not context.answer.whole


@then('the generation ran once')
def step_ran_once(context: Context) -> None:
    assert all_runs(context.world) == ['at-1']


async def seconds_until(world: World, holds: Any, limit: float) -> float:
    """Return how long it takes until an asynchronous check holds."""
    started = await curio.clock()
    while not await holds():
        took = await curio.clock() - started
        if took > limit:
            return took
        await curio.sleep(0.05)
    return await curio.clock() - started


async def asks(world: World, node: str, target: str, status: int) -> bool:
    number = len(all_runs(world))
    answer = await world.ask(node, target, f'probe-{node}-{number}')
    return answer.status == status


def with_route() -> dict[str, Any]:
    added = manifest(5)
    added['routes'].append(
        {**added['routes'][0], 'name': 'more', 'pathPrefix': '/more/'}
    )
    return added


@when('the store is {trouble} for 2 seconds and a route is added after it')
def step_trouble(context: Context, trouble: str) -> None:
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


@then('every node serves the new route within {seconds:d} seconds')
def step_in_force(context: Context, seconds: int) -> None:
    assert max(context.took.values()) <= seconds, context.took


@when('the store turns one node away and a key is taken away')
def step_turned_away(context: Context) -> None:
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


@then('that node refuses the key within {seconds:d} seconds')
def step_refuses(context: Context, seconds: int) -> None:
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


@then('that node serves within {seconds:d} seconds')
def step_serves(context: Context, seconds: int) -> None:
    assert context.took <= seconds, context.took


@when('an endpoint announces that it leaves')
def step_leaves(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.register('i-0', 'plain', 'draining')
        await curio.sleep(1)
        before = len(world.runners['i-0'].arrivals)
        for number in range(12):
            await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
        context.late = len(world.runners['i-0'].arrivals) - before

    run(context, scenario)


@when(
    'an endpoint leaves while watches hear nothing for 2 seconds'
    ' and the history is dropped'
)
def step_deaf(context: Context) -> None:
    async def scenario(world: World) -> None:
        world.store.deaf = True
        world.register('i-0', 'plain', 'draining')
        await curio.sleep(2)
        world.store.compact()
        world.store.deaf = False
        await curio.sleep(1)
        before = len(world.runners['i-0'].arrivals)
        for number in range(12):
            await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
        context.late = len(world.runners['i-0'].arrivals) - before

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
        before = len(world.runners['i-0'].arrivals)
        for number in range(12):
            await world.ask(f'n-{number % 2}', '/read/a', f'at-{number}')
        context.late = len(world.runners['i-0'].arrivals) - before

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


@then('calls are refused with a time to come back within 1 second')
def step_closed(context: Context) -> None:
    assert {each.status for each in context.answers} == {503}
    assert all('retry-after' in each.headers for each in context.answers)
    assert max(each.seconds for each in context.answers) <= 1


@when('records of other writers appear')
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
        context.known = set(world.nodes['n-0'].knowledge.book.endpoints)

    run(context, scenario)


@then('calls go to the one endpoint only')
def step_one_only(context: Context) -> None:
    assert {each.status for each in context.answers} == {200}
    assert context.known == {'i-0'}


@when('a node is told to end while a call runs')
def step_end(context: Context) -> None:
    async def scenario(world: World) -> None:
        for runner in world.runners.values():
            runner.event_seconds = 0.6
        asking = await curio.spawn(world.ask, 'n-0', '/write/a', 'at-1')
        await world.until(lambda: bool(all_runs(world)))
        ending = world.nodes.pop('n-0')
        stopping = await curio.spawn(ending.stop)
        context.answers = [await asking.join()]
        await curio.sleep(0.5)
        fleet = world.nodes['n-1'].fleet
        context.ready = ending.is_ready()
        context.named = fleet.addresses('a')
        context.ending = ending.settings.callers
        await stopping.join()

    run(context, scenario)


@then('the call was answered 200')
def step_answered(context: Context) -> None:
    assert [each.status for each in context.answers] == [200]
    assert context.answers[0].headers.get('connection') == 'close'


@then('the other node no longer names it')
def step_unnamed(context: Context) -> None:
    assert context.ending not in context.named
    assert context.named


@then('it is not ready')
def step_unready(context: Context) -> None:
    assert not context.ready
