"""Steps for endpoints whose answers are cut short or meant for others."""

import curio
from behave import given, then, when
from behave.runner import Context

from support.fleet.scenario import PROMPT, build, run
from support.fleet.scripted import EVENTS, ScriptedRunner
from support.fleet.world import World
from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.server import open_listener

#: Endpoint that works beside the faulty one, where there is one.
WORKING = 'i-1'
OK = 200
#: Requests after which each of two endpoints has got one.
MAX_REQUESTS = 60
PROMISES = {408, 421, 429, 503}


@given('a world whose plain endpoint answers with {what}')
def step_plain(context: Context, what: str) -> None:
    prepare_scripted(context, 'plain', what)


@given('a world whose engine answers with {what}')
def step_engine(context: Context, what: str) -> None:
    prepare_scripted(context, 'engines', what)


def prepare_scripted(context: Context, service: str, what: str) -> None:
    async def with_scripted(world: World) -> None:
        await build(service, 1, 1, world)
        listener = open_listener(LOOPBACK, free_port())
        address = f'{LOOPBACK}:{listener.getsockname()[1]}'
        context.scripted = ScriptedRunner(what)
        serving = await curio.spawn(context.scripted.serve, listener)
        world.tasks.append(serving)
        world.runners['i-0'].address = address
        world.register('i-0', service)
        endpoints = world.nodes['n-0'].platform_state.registry.endpoints
        await world.until(lambda: endpoints['i-0'].record.address == address)

    async def add_working(world: World) -> None:
        if 'working' not in context:
            return
        await world.add_runner(WORKING, service)
        endpoints = world.nodes['n-0'].platform_state.registry.endpoints
        await world.until(lambda: WORKING in endpoints)

    context.target = '/stream/a' if service == 'engines' else '/write/a'
    context.build = with_scripted
    context.prepare = [add_working]


@when('a client makes a once-only request')
def step_ask(context: Context) -> None:
    async def scenario(world: World) -> None:
        context.reached = []
        context.answers = []
        for number in range(MAX_REQUESTS if 'working' in context else 1):
            attempt = f'at-{number}'
            answer = await world.ask('n-0', context.target, attempt, **PROMPT)
            context.answers.append(answer)
            ran = WORKING in world.runners and (
                attempt in world.runners[WORKING].ran
            )
            context.reached.append(context.scripted.asked + ran)
            context.scripted.asked = 0
            if len({each.status == OK for each in context.answers}) > 1:
                break

    run(context, scenario)


@then('the client got no success')
def step_no_success(context: Context) -> None:
    [answer] = context.answers
    assert answer.status != 200 or not answer.whole, answer
    assert not answer.body or answer.status != 200, answer


@then('no answer states that the request has not run')
def step_no_promise(context: Context) -> None:
    for answer in context.answers:
        assert answer.status not in PROMISES, answer


@then('the request reached one endpoint only')
def step_reached_one(context: Context) -> None:
    assert set(context.reached) == {1}, (context.reached, context.answers)
    assert any(each.status == 200 for each in context.answers)
    assert any(each.status != 200 for each in context.answers)


@then('the client got the complete answer "{text}"')
def step_complete(context: Context, text: str) -> None:
    [answer] = context.answers
    assert answer.whole, answer
    assert answer.body == text.encode(), answer


@then('the client got a stream of 2 events that is complete')
def step_stream_complete(context: Context) -> None:
    [answer] = context.answers
    assert answer.whole, answer
    assert answer.body == EVENTS, answer


@then('the client got a stream of 2 events that is broken off')
def step_stream_broken(context: Context) -> None:
    [answer] = context.answers
    assert not answer.whole, answer
    assert answer.body == EVENTS, answer
