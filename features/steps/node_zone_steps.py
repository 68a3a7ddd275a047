"""Steps for zones taken out of service, over processes."""

import threading
import time

from behave import then, when
from behave.runner import Context

from turmericyard_bench.deployment import wait_until
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_http.clock import boot_seconds

LIMIT_SECONDS = 5


@when('zone "{zone}" is taken out and {seconds:d} seconds pass')
def step_out_and_pass(context: Context, zone: str, seconds: int) -> None:
    context.out_at = context.deployment.require('zone', 'out', zone).ended
    time.sleep(seconds)


@when('zone "{zone}" is taken out and the store goes down at once')
def step_out_and_down(context: Context, zone: str) -> None:
    context.out_at = context.deployment.require('zone', 'out', zone).ended
    context.deployment.store.control(down=True)


@when('two operators concurrently take zone "{zone}" out, in and out')
def step_two_operators(context: Context, zone: str) -> None:
    def operate() -> None:
        for verb in ('out', 'in', 'out'):
            context.deployment.operate('zone', verb, zone)

    operators = [threading.Thread(target=operate) for _ in range(2)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    context.out_at = boot_seconds()


@then('zone "{zone}" got no new work after the time limit')
def step_no_work(context: Context, zone: str) -> None:
    begin = context.out_at + LIMIT_SECONDS
    names = context.deployment.endpoint_names(zone)
    ledgers = read_ledgers(context.deployment)
    late = ledgers.work_after(names, begin, boot_seconds())
    assert not late, [(name, at - context.out_at) for name, at in late]
    elsewhere = frozenset(context.deployment.endpoints) - names
    context.later = ledgers.work_after(elsewhere, begin, boot_seconds())


@then('zone "{zone}" got work before it was taken out')
def step_work_before(context: Context, zone: str) -> None:
    names = context.deployment.endpoint_names(zone)
    ledgers = read_ledgers(context.deployment)
    assert ledgers.work_after(names, 0, context.out_at)


@then('every node reports that zone "{zone}" is out')
def step_agree(context: Context, zone: str) -> None:
    def agreed() -> bool:
        return all(
            zone in node.status()['zones_out']
            for node in context.deployment.running_nodes()
        )

    assert wait_until(agreed, LIMIT_SECONDS)
