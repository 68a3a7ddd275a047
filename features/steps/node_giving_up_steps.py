"""Steps for requests that a node gives up."""

import json
import time
from http.client import HTTPConnection
from typing import Any

from behave import given, then, when
from behave.runner import Context

from turmericyard_bench.deployment import wait_until

WORKSPACE = 'ljubljana-voda'
WAIT_SECONDS = 30
#: Reports that fill the six cold engines of the example.
REPORTS = 6


@given('the pool of reports is full')
def step_full(context: Context) -> None:
    run = context.run
    for number in range(REPORTS):
        run.start_report(f'filler-{number}', 600, run.caller())
    records = run.load.streams
    assert wait_until(lambda: all(each.tokens for each in records), 30)


@given("the platform's store is down")
def step_store_down(context: Context) -> None:
    context.run.deployment.store.control(down=True)


@given('all zones are taken out')
def step_all_out(context: Context) -> None:
    deployment = context.run.deployment
    answer = None
    for zone in deployment.example.zones:
        answer = deployment.require('--output', 'json', 'zone', 'out', zone)
    assert answer is not None
    revision = answer.json()['revision']
    assert wait_until(lambda: deployment.in_force(revision), 10)


@given('the services take {seconds:d} seconds a call')
def step_slow(context: Context, seconds: int) -> None:
    deployment = context.run.deployment
    for endpoint in deployment.example.endpoints:
        if not endpoint.is_engine:
            process = deployment.endpoints[endpoint.name]
            process.control(latency_seconds=seconds)


@when('a caller asks for a label with a deadline of {seconds:d} seconds')
def step_label(context: Context, seconds: int) -> None:
    body = {
        'product': 'fixture-label',
        'workspace': WORKSPACE,
        'prompt': 'worn tap',
        'max_tokens': 5,
        'deadline_seconds': seconds,
    }
    context.deadline = seconds
    send(context, '/v1/generate', body, {})


@when('a caller books')
def step_book(context: Context) -> None:
    body = {
        'product': 'booking',
        'workspace': WORKSPACE,
        'operation': 'book',
        'payload': 1,
    }
    send(context, '/v1/call', body, {'idempotency-key': 'door-1'})


def send(
    context: Context, path: str, body: Any, headers: dict[str, str]
) -> None:
    address = context.run.deployment.addresses()[0]
    connection = HTTPConnection(address, timeout=WAIT_SECONDS)
    began = time.monotonic()
    connection.request('POST', path, json.dumps(body), headers)
    context.answer = json.loads(connection.getresponse().read())
    context.seconds = time.monotonic() - began
    connection.close()


@then('the answer is "{outcome}" and comes within 1 second of the deadline')
def step_at_deadline(context: Context, outcome: str) -> None:
    assert context.answer['outcome'] == outcome, context.answer
    assert context.seconds < context.deadline + 1, context.seconds


@then('the answer is "{outcome}" and comes within {bound:d} seconds')
def step_within(context: Context, outcome: str, bound: int) -> None:
    assert context.answer['outcome'] == outcome, context.answer
    assert context.seconds < bound, context.seconds


@then('it says when to retry')
def step_when(context: Context) -> None:
    answer = context.answer
    assert answer['retry_after_seconds'] > 0 or answer['addresses'], answer


@then('the same key gives the recorded outcome or "{outcome}"')
def step_again(context: Context, outcome: str) -> None:
    step_book(context)
    assert context.answer['outcome'] in {'done', outcome}, context.answer
