"""Steps for endpoints whose answers are cut short or meant for others."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from support.fleet.scenario import PROMPT, run
from support.fleet.scripted import EVENTS, WHOLE
from support.fleet.scripted_world import (
    WORKING,
    ask_scripted,
    cut_first_node,
    prepare_scripted,
)
from support.fleet.world import World

OK = 200
BAD_GATEWAY = 502
#: Requests after which each of two endpoints has got one.
MAX_REQUESTS = 60
PROMISES = {408, 421, 429, 503}
#: Length of a request of which an endpoint takes only the beginning at once, in
#: bytes.
LONG_BODY = 4_000_000


@given('a world whose plain endpoint answers with {what}')
def step_plain(context: Context, what: str) -> None:
    prepare_scripted(context, 'plain', what)


@given('a world whose engine answers with {what}')
def step_engine(context: Context, what: str) -> None:
    prepare_scripted(context, 'engines', what)


@given('a world whose {endpoint}, reached {way}, sends {what} and {ending}')
def step_ending(
    context: Context, endpoint: str, way: str, what: str, ending: str
) -> None:
    service = 'plain' if endpoint == 'plain endpoint' else 'engines'
    nodes = 2 if way == 'through a peer' else 1
    prepare_scripted(context, service, what, ending=ending, nodes=nodes)
    if way == 'through a peer':
        context.prepare.append(cut_first_node)


@given('a second endpoint that is found after the request was sent')
def step_found_later(context: Context) -> None:
    context.has_second = True


@when('a client makes a {kind} request with a body of 4 MB')
def step_upload(context: Context, kind: str) -> None:
    ask_scripted(context, kind, Random(1).randbytes(LONG_BODY))


@then("the client got nothing that looks like the endpoint's complete answer")
def step_not_complete(context: Context) -> None:
    answer = context.answers[-1]
    assert answer.status != OK or not answer.whole, answer
    assert answer.body != WHOLE, answer
    assert answer.status not in PROMISES, answer


@then('the endpoint was asked {count:d} times')
def step_asked(context: Context, count: int) -> None:
    assert context.scripted.asked == count, context.answers


@then("the client got the second endpoint's complete answer")
def step_second(context: Context) -> None:
    answer = context.answers[-1]
    assert (answer.status, answer.whole) == (OK, True), answer
    assert context.world.runners[WORKING].ran, answer
    assert answer.body != WHOLE, answer


@then("the client got the endpoint's complete answer, with status {status:d}")
def step_status(context: Context, status: int) -> None:
    answer = context.answers[-1]
    assert (answer.status, answer.body) == (status, WHOLE), answer
    assert answer.whole, answer
    assert answer.headers['x-turmericyard-response-seal'] == 's', answer


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


@then('the client is told that the request may have run')
def step_may_have_run(context: Context) -> None:
    [answer] = context.answers
    assert answer.status == BAD_GATEWAY, answer


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
