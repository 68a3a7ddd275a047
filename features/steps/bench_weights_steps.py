"""Steps for the weights store and engines that load from it."""

import json
from http.client import HTTPConnection
from typing import Any

from behave import given, then, when
from behave.runner import Context

from turmericyard_bench.deployment import wait_until
from turmericyard_bench.launch import LOOPBACK, RunningProcess, get_json

STORE = 'turmericyard_bench.standins.weights_store'
ENGINE = 'turmericyard_bench.standins.engine'
SIZE_BYTES = 1_048_576
BYTES_PER_SECOND = 1_048_576
WAIT_SECONDS = 20
ACCEPTED, DEFERRED = 202, 503


@given('a weights store for {limit:d} loads at once and {count:d} engines')
def step_store(context: Context, limit: int, count: int) -> None:
    launcher = context.launcher
    limits = {
        '--loads-at-once': limit,
        '--size-bytes': SIZE_BYTES,
        '--bytes-per-second': BYTES_PER_SECOND,
    }
    words = [str(word) for pair in limits.items() for word in pair]
    context.weights = launcher.start_ready('weights', STORE, words)
    context.engines = []
    for number in range(count):
        name = f'engine-{number}'
        options = ('--name', name, '--weights-store', context.weights.address)
        context.engines.append(launcher.start_ready(name, ENGINE, options))


@given('the store is so slow that a load takes 20 seconds')
def step_slow(context: Context) -> None:
    context.weights.control(bytes_per_second=SIZE_BYTES / 20)


@when('each engine is ordered to load version "{version}"')
def step_order(context: Context, version: str) -> None:
    context.statuses = [order(each, version) for each in context.engines]


@when('the refused order is sent again')
def step_again(context: Context) -> None:
    refused = context.engines[context.statuses.index(DEFERRED)]
    assert order(refused, '2') == ACCEPTED


@when('the weights store is killed')
def step_killed(context: Context) -> None:
    context.weights.kill()


@when('the first engine is ordered to load version "{version}" and is killed')
def step_engine_killed(context: Context, version: str) -> None:
    assert order(context.engines[0], version) == ACCEPTED
    context.engines[0].kill()


@then('{accepted:d} orders are accepted and {refused:d} is refused temporarily')
def step_accepted(context: Context, accepted: int, refused: int) -> None:
    expected = [ACCEPTED] * accepted + [DEFERRED] * refused
    assert sorted(context.statuses) == expected, context.statuses


@then('every engine whose order was accepted reports version "{version}"')
def step_accepted_version(context: Context, version: str) -> None:
    pairs = zip(context.engines, context.statuses, strict=True)
    accepted = [engine for engine, status in pairs if status == ACCEPTED]
    assert wait_until(lambda: report(accepted, version), WAIT_SECONDS)


@then('every engine reports version "{version}"')
def step_version(context: Context, version: str) -> None:
    assert wait_until(lambda: report(context.engines, version), WAIT_SECONDS)


@then('the total rate of the loads stayed within the rate of the store')
def step_rate(context: Context) -> None:
    loads = context.weights.ledger()['loads']
    began = min(load['began'] for load in loads)
    seconds = max(load['ended'] for load in loads) - began
    sent = sum(load['sent_bytes'] for load in loads)
    assert sent == len(loads) * SIZE_BYTES, loads
    assert seconds >= sent / BYTES_PER_SECOND, loads


@then('the store had at most {limit:d} loads at once and refused {count:d}')
def step_ledger(context: Context, limit: int, count: int) -> None:
    ledger = context.weights.ledger()
    assert ledger['most_at_once'] <= limit, ledger
    assert ledger['refused'] == count, ledger


@then('every engine accepts generations again with version "{version}"')
def step_serves(context: Context, version: str) -> None:
    assert wait_until(lambda: serve(context.engines), WAIT_SECONDS)
    assert report(context.engines, version)


@then('an order to the other engine is eventually accepted')
def step_other(context: Context) -> None:
    other = context.engines[1]
    assert wait_until(lambda: order(other, '2') == ACCEPTED, WAIT_SECONDS)


@then('the store recorded the load of the first engine as interrupted')
def step_interrupted(context: Context) -> None:
    first, *_ = context.weights.ledger()['loads']
    assert first['ended'] is not None, first
    assert first['sent_bytes'] < first['size_bytes'], first


def report(engines: list[RunningProcess], version: str) -> bool:
    return all(
        get_json(each.ports[0], '/v1/load')['version'] == version
        for each in engines
    )


def serve(engines: list[RunningProcess]) -> bool:
    body = {
        'generation': 'g',
        'request': 'r',
        'model': 'report-model',
        'prompt': [1],
        'max_tokens': 1,
    }
    statuses = {post(each, '/v1/generations', body) for each in engines}
    return statuses <= {200, 409}


def order(engine: RunningProcess, version: str) -> int:
    body = {'fencing': 1, 'order': 'set-version', 'argument': version}
    return post(engine, '/v1/orders', body)


def post(engine: RunningProcess, target: str, body: dict[str, Any]) -> int:
    connection = HTTPConnection(LOOPBACK, engine.ports[0])
    try:
        connection.request('POST', target, json.dumps(body))
        return connection.getresponse().status
    finally:
        connection.close()
