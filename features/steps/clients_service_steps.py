"""Steps for the service client against the service stand-in."""

import curio
from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from turmericyard_clients.service import (
    CallMayHaveRun,
    CallNotRun,
    ServiceCall,
    call_service,
)
from turmericyard_http.client import create_client

SERVICE = 'turmericyard_bench.standins.service'
TIMEOUT_SECONDS = 4


@given('a service process and a client of it')
@when('the service process is killed and started again')
def step_service(context: Context) -> None:
    if 'process' in context:
        context.process.kill()
    ledger = context.launcher.directory / 'service.ledger'
    options = ('--work-seconds', '0.3', '--ledger-file', str(ledger))
    context.process = context.launcher.start_ready('service', SERVICE, options)
    context.client = create_client(context.process.address)


def call(context: Context, name: str):
    return call_service(
        context.client,
        ServiceCall(f'r-{name}', 'book', name, key=f'k-{name}'),
        timeout_seconds=TIMEOUT_SECONDS,
    )


def call_two(context: Context) -> list:
    async def run() -> list:
        tasks = [await curio.spawn(call(context, name)) for name in ('a', 'b')]
        return [await task.join() for task in tasks]

    return curio.run(run)


@given('the service is warm')
def step_warm(context: Context) -> None:
    for index in range(4):
        curio.run(call(context, f'warm-{index}')).unwrap()


@when('the client calls the service with payload "{text}"')
def step_call(context: Context, text: str) -> None:
    context.result = curio.run(call(context, text))


@then('the response echoes "{text}" and the ledger has 1 run')
def step_echo(context: Context, text: str) -> None:
    assert context.result.unwrap().result['echo'] == text
    assert context.process.ledger()['by_key'] == {f'k-{text}': 1}


@when('two calls are sent at once to the cold service')
@when('two calls are sent at once')
def step_two_calls(context: Context) -> None:
    context.results = call_two(context)


@then('one of them is reported as not run and the ledger has 1 run')
def step_one_not_run(context: Context) -> None:
    failed = [r.failure() for r in context.results if not is_successful(r)]
    assert [type(error) for error in failed] == [CallNotRun]
    assert len(context.process.ledger()['runs']) == 1


@when('the service has the fault "{fault}"')
def step_fault(context: Context, fault: str) -> None:
    context.process.control(**{fault: 1})


@then('the call is reported as one that may have run')
def step_may_have_run(context: Context) -> None:
    assert isinstance(context.result.failure(), CallMayHaveRun)


@then('the ledger has 1 run')
def step_one_run(context: Context) -> None:
    assert len(context.process.ledger()['runs']) == 1


@then('neither call returns the response to the other')
def step_not_swapped(context: Context) -> None:
    failures = [result.failure() for result in context.results]
    assert all(isinstance(error, CallMayHaveRun) for error in failures)


@then('the client keeps no idle connection')
def step_no_connection(context: Context) -> None:
    assert not context.client.idle


@when('the service process is killed')
def step_kill_service(context: Context) -> None:
    context.process.kill()


@then('the call is reported as not run')
def step_not_run(context: Context) -> None:
    assert isinstance(context.result.failure(), CallNotRun)
