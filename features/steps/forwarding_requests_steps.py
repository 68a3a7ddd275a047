"""Steps for requests from simulated clients to simulated endpoints."""

from functools import partial

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.runner import FleetRunner
from support.fleet.scenario import (
    all_cancelled,
    all_runs,
    build,
    run,
)
from support.fleet.world import Answer, World

SYSTEM_HEADERS = {
    'x-turmericyard-hold': 'mine',
    'x-turmericyard-pin-ms': '9999',
    'x-turmericyard-kv-backup': '127.0.0.1:1',
    'kv-from': '127.0.0.1:1/x',
    'kv-fetch': '127.0.0.1:1',
}


FAULTS = {
    'rejects requests': 'full',
    'hangs': 'hang',
    'fail': 'error',
    'fails': 'error',
    'break off their answers': 'reset',
    'do not sign their answers': 'unsigned',
    'answer a different request': 'foreign',
}


@given('a world with {count:d} plain endpoints and {nodes:d} node')
@given('a world with {count:d} plain endpoints and {nodes:d} nodes')
def step_plain(context: Context, count: int, nodes: int) -> None:
    context.build = partial(build, 'plain', count, nodes)
    context.prepare = []


@given('one endpoint that {fault}')
def step_one_fault(context: Context, fault: str) -> None:
    async def prepare(world: World) -> None:
        runner = world.runners['i-0']
        if fault == 'refuses connections':
            await world.servers.pop('i-0').finish(0)
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


@when('a client calls with headers reserved for the system')
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
    async def build_unready(world: World) -> None:
        world.store.mode = 'busy'
        node = await world.add_node('n-0')
        await world.until(node.platform_state.registry.is_store_failing)

    context.build = build_unready
    context.prepare = []


@when('a client calls the node before it has a configuration')
def step_early(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.answer = await world.ask('n-0', '/read/a', 'at-1')

    run(context, scenario)


@then('the answer asks to retry after {low:g} to {high:g} seconds')
def step_return_between(context: Context, low: float, high: float) -> None:
    assert low <= float(context.answer.headers['retry-after']) <= high


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


@then('the answer says when to retry')
def step_return(context: Context) -> None:
    assert float(context.answer.headers['retry-after']) > 0


@then('the endpoint got the attempt id, the workspace and its own identity')
def step_got(context: Context) -> None:
    runner, headers = first_arrival(context)
    assert headers['x-turmericyard-attempt-id'] == 'at-1'
    assert headers['x-turmericyard-tenant'] == 'firm'
    assert headers['x-turmericyard-expect-instance'] == runner.identity


@then("the endpoint got no key and at most the client's remaining time")
def step_no_key(context: Context) -> None:
    _, headers = first_arrival(context)
    assert 'authorization' not in headers
    assert 0 < int(headers['x-turmericyard-deadline-ms']) <= 5000


@then('the endpoint got none of these headers')
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


@then('no answer states that the call has not run')
def step_promise(context: Context) -> None:
    not_run = {408, 421, 429, 503}
    assert not not_run & {each.status for each in context.answers}


@then('no client got a success')
def step_no_success(context: Context) -> None:
    complete = [each for each in context.answers if each.whole]
    assert all(each.status >= 500 for each in complete), context.answers
