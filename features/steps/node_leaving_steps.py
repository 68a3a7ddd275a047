"""Steps for leaving endpoints and for products with pools of their own."""

import time
from configparser import ConfigParser
from typing import Any

from behave import given, then, when
from behave.runner import Context

from support.labels import Labels
from support.runs import start_run
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_http.clock import boot_seconds

WARM_UP_SECONDS = 6
INVALID = 3
LEAVE_SECONDS = 3


@given('the Vodnik example runs with 3 nodes, of which one reads the VM list')
def step_one_reads(context: Context) -> None:
    context.run = start_run(
        context.launcher, 'vodnik', 3, nodes_without_vm_list=2
    )


@given('callers ask for labels all the time')
def step_labels(context: Context) -> None:
    context.labels = Labels(context.run)
    time.sleep(WARM_UP_SECONDS)


@given('callers ask for {count:d} labels a second')
def step_labels_rate(context: Context, count: int) -> None:
    context.labels = Labels(context.run, 1 / count)
    time.sleep(WARM_UP_SECONDS)


@when('the VM of "{name}" leaves and its engine dies {seconds:d} seconds later')
def step_leave(context: Context, name: str, seconds: int) -> None:
    deployment = context.run.deployment
    endpoint = next(
        each for each in deployment.example.endpoints if each.name == name
    )
    deployment.vm_list.control(
        vm=endpoint.vm, zone=endpoint.zone, state='leaving'
    )
    deployment.endpoints[name].control(reclaim_seconds=seconds)
    context.notice_at = boot_seconds()


@when('the engine "{name}" reports that it dies in {seconds:d} seconds')
def step_engine_reports(context: Context, name: str, seconds: int) -> None:
    process = context.run.deployment.endpoints[name]
    process.control(reclaim_seconds=seconds)
    context.notice_at = boot_seconds()


@when('the callers continue for {seconds:d} seconds')
def step_continue(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    context.labels.stop()


@then('"{name}" got work before and none from 3 seconds after the notice')
def step_no_work(context: Context, name: str) -> None:
    at = accepted(context, {name})
    assert any(moment < context.notice_at for moment in at), 'no work before'
    late = [moment - context.notice_at for moment in at]
    assert not [seconds for seconds in late if seconds > LEAVE_SECONDS], late


@then('every label arrives complete')
def step_labels_complete(context: Context) -> None:
    assert context.labels.records
    for record in context.labels.records:
        assert record.whole, (record.name, record.verdicts)


def accepted(context: Context, names: set[str]) -> list[float]:
    entries = read_ledgers(context.run.deployment).generations
    return [entry.accepted for entry in entries if entry.endpoint in names]


@when('an operator applies tables with {fault}')
def step_fault(context: Context, fault: str) -> None:
    deployment = context.run.deployment
    context.before = [node.revision() for node in deployment.running_nodes()]
    routes, pools = deployment.write_tables()
    parser = ConfigParser(interpolation=None)
    parser.read(pools)
    FAULTS[fault](parser)
    with pools.open('w') as file:
        parser.write(file)
    context.ended = deployment.operate(
        'tables', 'apply', str(routes), str(pools)
    )


def rename_pool(parser: ConfigParser) -> None:
    parser['pool reports'] = dict(parser['pool report-model'])
    parser.remove_section('pool report-model')


def share_pool(parser: ConfigParser) -> None:
    parser['pool booking-service']['products'] = 'booking, harvest-sheet'


def double_endpoint(parser: ConfigParser) -> None:
    row = dict(parser['endpoint report-1'])
    parser['endpoint report-1-again'] = {**row, 'pool': 'booking-service'}


FAULTS = {
    'a pool renamed in one table only': rename_pool,
    "a pool that two products' owners use": share_pool,
    'an endpoint in two pools': double_endpoint,
}


@then('the edit is refused as invalid')
def step_invalid(context: Context) -> None:
    assert context.ended.status == INVALID, context.ended


@then('every node still has the previous revision')
def step_revision(context: Context) -> None:
    nodes = context.run.deployment.running_nodes()
    assert [node.revision() for node in nodes] == context.before


@then('a report still arrives complete')
def step_report(context: Context) -> None:
    record = context.run.start_report('after', 20, context.run.caller())
    context.run.join()
    assert record.whole, record.verdicts


@when('an operator moves "{product}" to a pool of its own with "{name}"')
def step_move(context: Context, product: str, name: str) -> None:
    deployment = context.run.deployment
    routes, pools = deployment.write_tables()
    edit(routes, {f'route {product}': {'pools': 'own-pool'}})
    parser = read(pools)
    own = dict(parser['pool report-model'])
    edit(
        pools,
        {
            'pool own-pool': {**own, 'products': product},
            'pool report-model': {'products': 'household-report'},
            f'endpoint {name}': {'pool': 'own-pool'},
        },
    )
    deployment.require('tables', 'apply', str(routes), str(pools))
    context.edited_at = boot_seconds()
    context.first_late = len(context.labels.records)


def read(path: Any) -> ConfigParser:
    parser = ConfigParser(interpolation=None)
    parser.read(path)
    return parser


def edit(path: Any, sections: dict[str, dict[str, str]]) -> None:
    parser = read(path)
    for section, keys in sections.items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser[section].update(keys)
    with path.open('w') as file:
        parser.write(file)


@then('from 3 seconds after the edit only "{name}" got labels')
def step_only(context: Context, name: str) -> None:
    entries = read_ledgers(context.run.deployment).generations
    late = [
        entry.endpoint
        for entry in entries
        if entry.accepted > context.edited_at + LEAVE_SECONDS
    ]
    assert late
    assert set(late) == {name}, late
