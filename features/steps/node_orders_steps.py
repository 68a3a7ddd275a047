"""Steps for orders to engines."""

import time
from base64 import b64decode
from configparser import ConfigParser
from typing import Any

from behave import given, then, when
from behave.runner import Context

from support.runs import start_run
from turmericyard_bench.deployment import wait_until
from turmericyard_bench.launch import get_json
from turmericyard_decisions.engine_orders import (
    LOAD_SPACING_SECONDS,
    MAX_LOADS_AT_ONCE,
)

WEIGHTS_STORE = 'turmericyard_bench.standins.weights_store'
BYTES_PER_SECOND = 262_144
#: A load takes longer than the spacing of orders, so that several run at
#: once.
LOAD_SECONDS = int(LOAD_SPACING_SECONDS) + 3
WEIGHTS_SECONDS = 4
ACCEPTED = 202


@given('the Vodnik example runs with {nodes:d} nodes and quick loads')
def step_quick_loads(context: Context, nodes: int) -> None:
    context.run = start_run(
        context.launcher,
        'vodnik',
        nodes,
        engine_options=('--weights-seconds', str(WEIGHTS_SECONDS)),
    )


@given('the Vodnik example runs with {nodes:d} nodes and a weights store')
def step_weights_store(context: Context, nodes: int) -> None:
    limits = {
        '--loads-at-once': MAX_LOADS_AT_ONCE,
        '--size-bytes': BYTES_PER_SECOND * LOAD_SECONDS,
        '--bytes-per-second': BYTES_PER_SECOND,
    }
    words = [str(word) for pair in limits.items() for word in pair]
    context.weights = context.launcher.start_ready(
        'weights-store', WEIGHTS_STORE, words
    )
    context.run = start_run(
        context.launcher,
        'vodnik',
        nodes,
        engine_options=('--weights-store', context.weights.address),
    )


@when('an operator sets "{key}" of "{section}" to "{text}"')
def step_set(context: Context, key: str, section: str, text: str) -> None:
    deployment = context.run.deployment
    routes, pools = deployment.write_tables()
    parser = ConfigParser(interpolation=None)
    parser.read(pools)
    parser[section][key] = text
    with pools.open('w') as file:
        parser.write(file)
    deployment.require('tables', 'apply', str(routes), str(pools))
    context.edited_at = time.monotonic()


@when('the node that gives orders to "{pool}" is frozen')
def step_freeze(context: Context, pool: str) -> None:
    address = context.run.deployment.store.address
    port = int(address.rpartition(':')[2])

    def holder() -> str | None:
        entries = get_json(port, '/v1/list?prefix=turmericyard/orders/')
        names = {entry['key'] for entry in entries['entries']}
        if not any(name.endswith(pool) for name in names):
            return None
        return b64decode(entries['entries'][0]['value']).decode()

    assert wait_until(lambda: holder() is not None, 30)
    name = holder()
    assert name is not None
    context.frozen = context.run.deployment.nodes[name]
    context.frozen.process.freeze()


@when('the frozen node is thawed')
def step_thaw(context: Context) -> None:
    context.frozen.process.thaw()
    time.sleep(3)


@then(
    'every engine of the pool reports version "{version}" within'
    ' {seconds:d} seconds'
)
def step_versions(context: Context, version: str, seconds: int) -> None:
    def reached() -> bool:
        return all(
            get_json(process.ports[0], '/v1/load')['version'] == version
            for process in engines(context)
        )

    assert wait_until(reached, seconds), orders(context)


@then('at no time were all engines of the pool loading')
def step_staggered(context: Context) -> None:
    taken = [
        (order['at'], name)
        for name, given_orders in orders(context).items()
        for order in given_orders
        if order['order'] == 'set-version'
    ]
    assert len(taken) == len(engines(context)), taken
    for at, _ in taken:
        loading = sum(0 <= at - other < WEIGHTS_SECONDS for other, _ in taken)
        assert loading < len(taken), taken


@then('no engine accepted orders with decreasing fencing numbers')
def step_fencing(context: Context) -> None:
    for name, given_orders in orders(context).items():
        numbers = [order['fencing'] for order in given_orders]
        assert numbers == sorted(numbers), (name, numbers)


@then('the weights store never served more loads at once than orders allow')
def step_load_limit(context: Context) -> None:
    ledger = context.weights.ledger()
    assert ledger['most_at_once'] <= MAX_LOADS_AT_ONCE, ledger


@then('it refused no load and each engine loaded once')
def step_no_refusal(context: Context) -> None:
    ledger = context.weights.ledger()
    assert ledger['refused'] == 0, ledger
    loaded = sorted(load['engine'] for load in ledger['loads'])
    assert loaded == sorted(each.name for each in engines(context)), ledger


def engines(context: Context) -> list[Any]:
    deployment = context.run.deployment
    return [
        deployment.endpoints[endpoint.name]
        for endpoint in deployment.example.endpoints
        if endpoint.is_engine
    ]


def orders(context: Context) -> dict[str, list[dict[str, Any]]]:
    return {
        process.name: [
            order
            for order in process.ledger()['orders']
            if order['status'] == ACCEPTED
        ]
        for process in engines(context)
    }
