"""Steps for what the heads of endpoints' answers are taken for."""

from itertools import count
from typing import Any

from behave import given, then, when
from behave.runner import Context

from support.fleet.runner import RESET, FleetRunner
from support.fleet.scenario import run, running, stream
from support.fleet.scripted import WHOLE, read_fields
from support.fleet.scripted_world import WORKING, ask_scripted
from support.fleet.world import World, manifest
from turmericyard_fleet import ingress
from turmericyard_http.clock import boot_seconds
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_ports.request import IncomingRequest

ATTEMPT = 'at-0'
UNAVAILABLE = 503
#: Endpoints that may run a request: one more than by default.
RUNS_PERMITTED = 3
#: Calls that are looked at as the last ones.
LAST_CALLS = 30


@when('an answer has the status {status:d} and {fields}')
def step_head(context: Context, status: int, fields: str) -> None:
    incoming = IncomingRequest(ATTEMPT, b'GET', b'/', 'h', '/', (), b'', 0, 1)
    lines = tuple(
        (name, text.replace(b'%s', ATTEMPT.encode()))
        for name, text in read_fields(fields)
    )
    signs = ingress.read_answer_signs(incoming, status, lines)
    context.verdict = signs.verdict.value


@then('it is taken as {verdict}')
def step_verdict(context: Context, verdict: str) -> None:
    assert context.verdict == verdict, context.verdict


@when('a client sends a {kind} request')
def step_request(context: Context, kind: str) -> None:
    ask_scripted(context, kind, b'body')


@then("the client got nothing of the endpoint's bytes")
def step_nothing(context: Context) -> None:
    answer = context.answers[-1]
    assert WHOLE not in answer.body, answer
    assert 'x-turmericyard-response-seal' not in answer.headers, answer


@then('the second endpoint got no request')
def step_not_second(context: Context) -> None:
    assert not context.world.runners[WORKING].arrivals


@then('the client is refused with a time to return')
def step_refused(context: Context) -> None:
    answer = context.answers[-1]
    assert answer.status == UNAVAILABLE, answer
    assert float(answer.headers['retry-after']) > 0, answer
    assert WHOLE not in answer.body, answer


@then('the endpoint is asked without a rest')
def step_no_rest(context: Context) -> None:
    assert not scripted_endpoint(context).is_backing_off(boot_seconds())


@then('the endpoint rests')
def step_rest(context: Context) -> None:
    assert scripted_endpoint(context).is_backing_off(boot_seconds())


@then('the endpoint is used without a limit')
def step_no_limit(context: Context) -> None:
    assert scripted_endpoint(context).requests_per_second is None


@then('the endpoint is not taken as leaving')
def step_stays(context: Context) -> None:
    assert scripted_endpoint(context).usable()


def scripted_endpoint(context: Context) -> Endpoint:
    """Return what the node knows of the endpoint with the given bytes."""
    node = context.world.nodes['n-0']
    return node.platform_state.registry.endpoints['i-0']


@given('a route that permits 3 runs')
def step_route(context: Context) -> None:
    async def prepare(world: World) -> None:
        changed = manifest(3, resumable=True)
        for route in changed['routes']:
            route['attempts'] = RUNS_PERMITTED
        world.store.put('op/config', changed)
        state = world.nodes['n-0'].platform_state
        await world.until(lambda: state.route_table.configuration.version == 3)

    context.prepare.append(prepare)


@when(
    'an engine loses a run of {length:d} events and the next answer lacks the'
    ' signature'
)
def step_lose(context: Context, length: int) -> None:
    async def scenario(world: World) -> None:
        asking = await stream(world, length)
        former = running(world)[0]
        taken: list[str] = []
        for runner in world.runners.values():
            runner.take_fault = unsigned_once(taken)
        world.runners[former].loses_answers = RESET
        context.answer = await asking.join()
        assert taken, 'no engine was asked to go on'

    run(context, scenario)


def unsigned_once(taken: list[str]) -> Any:
    def take_fault() -> str:
        if taken:
            return ''
        taken.append('unsigned')
        return 'unsigned'

    return take_fault


@given('an endpoint that does not sign each {period:d}th answer')
@given('an endpoint that does not sign each {period:d}st answer')
def step_seldom(context: Context, period: int) -> None:
    async def prepare(world: World) -> None:
        omit_signature(world.runners['i-0'], period)

    context.prepare.append(prepare)


def omit_signature(runner: FleetRunner, period: int) -> None:
    numbers = count(1)
    runner.take_fault = lambda: '' if next(numbers) % period else 'unsigned'


@then('both endpoints were used until the end')
def step_both(context: Context) -> None:
    last = {
        f'at-{len(context.answers) - number}' for number in range(LAST_CALLS)
    }
    for runner in context.world.runners.values():
        assert last.intersection(runner.ran), runner.identity


@then('one endpoint got at most {most:d} of the calls')
def step_few(context: Context, most: int) -> None:
    ran = context.world.runners['i-0'].ran
    assert 0 < len(ran) <= most, len(ran)
