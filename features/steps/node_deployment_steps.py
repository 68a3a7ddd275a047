"""Steps shared by the features that run a whole deployment of processes."""

import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from support.background import start_load
from turmericyard_bench.deployment import Plan, start_deployment
from turmericyard_bench.invariants import (
    Evidence,
    InvariantResult,
    check_all,
)
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.mixed_load import Mix

TIMING = {'address_ttl_seconds': 1, 'drain_margin_seconds': 0.5}
EXAMPLE = Path('examples/vodnik').absolute()
WARM_UP_SECONDS = 3
LONG_REPORTS = Mix(reports=0.6, labels=1, report_tokens=(120, 240))


@given('a deployment of {count:d} nodes with links to the store')
def step_deployment(context: Context, count: int) -> None:
    plan = Plan(EXAMPLE, count, store_links=True, timing=TIMING)
    context.deployment = start_deployment(context.launcher, plan)


@given(
    'a deployment of {count:d} nodes with links to the store and running load'
)
def step_loaded_deployment(context: Context, count: int) -> None:
    step_deployment(context, count)
    context.load = start_load(context.deployment, Mix())
    time.sleep(WARM_UP_SECONDS)


@given(
    'a deployment of {count:d} nodes with links to the store and long reports'
)
def step_long_reports(context: Context, count: int) -> None:
    step_deployment(context, count)
    context.load = start_load(context.deployment, LONG_REPORTS)
    time.sleep(WARM_UP_SECONDS)


@when('{seconds:d} seconds pass')
def step_pass(context: Context, seconds: int) -> None:
    time.sleep(seconds)


@when('node "{node}" is cut from the store')
def step_cut(context: Context, node: str) -> None:
    context.deployment.links[node].control(mode='cut')


@when('node "{node}" reaches the store again')
def step_mend(context: Context, node: str) -> None:
    context.deployment.links[node].control(mode='open')


@when('node "{node}" is frozen')
def step_freeze(context: Context, node: str) -> None:
    context.deployment.nodes[node].process.freeze()


@when('node "{node}" is thawed and {seconds:d} seconds pass')
def step_thaw(context: Context, node: str, seconds: int) -> None:
    context.deployment.nodes[node].process.thaw()
    time.sleep(seconds)


@when('the store drops its next change')
def step_drop(context: Context) -> None:
    context.deployment.store.control(drop_changes=1)


@when('the store goes down')
def step_store_down(context: Context) -> None:
    context.deployment.store.control(down=True)


@when('the store comes back')
def step_store_back(context: Context) -> None:
    context.deployment.store.control(down=False)


@then('every caller got its complete answer')
def step_answers(context: Context) -> None:
    record = context.load.stop()
    evidence = Evidence(record, read_ledgers(context.deployment))
    broken = [each for each in check_all(evidence) if not each.held]
    assert record.streams
    assert record.calls
    assert not broken, describe(broken)


def describe(broken: list[InvariantResult]) -> str:
    return '\n'.join(f'{each.name}: {each.breaches[:5]}' for each in broken)
