"""Steps for the configuration in force at every node, over processes."""

import threading
import time

from behave import given, then, when
from behave.runner import Context

from support.revisions import RevisionPolls
from turmericyard_bench.deployment import wait_until
from turmericyard_bench.invariants import RevisionSeen, by_node
from turmericyard_bench.operator_command import OperatorAnswer

#: Time in which every node is polled once more, in seconds.
LAST_POLL_SECONDS = 0.5


@given('every node is polled for its revision continuously')
def step_polls(context: Context) -> None:
    context.polls = RevisionPolls(context.deployment)
    context.accepted = []


@when('the store loses 3 answers and drops 2 changes')
def step_store_faults(context: Context) -> None:
    context.deployment.store.control(lose_answers=3, drop_changes=2)


def mark(context: Context, verb: str, vm: str) -> OperatorAnswer:
    return context.deployment.operate('--output', 'json', 'vm', verb, vm)


@when('two operators concurrently mark VMs out and in 6 times')
def step_concurrent_edits(context: Context) -> None:
    def operate(vm: str) -> None:
        for verb in ('out', 'in') * 3:
            context.accepted.append(mark(context, verb, vm))

    operators = [
        threading.Thread(target=operate, args=(vm,))
        for vm in ('vm-report-1', 'vm-report-2')
    ]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    assert all(answer.status == 0 for answer in context.accepted), [
        answer.errors for answer in context.accepted
    ]


@given('VM "{vm}" is marked out')
@when('VM "{vm}" is marked out')
def step_mark_out(context: Context, vm: str) -> None:
    answer = mark(context, 'out', vm)
    assert answer.status == 0, answer.errors
    if 'accepted' not in context:
        context.accepted = []
    context.accepted.append(answer)


@when('the store sends its oldest change to a watch again')
def step_old_change(context: Context) -> None:
    context.deployment.store.control(replay_old_change=True)


@when('node "{node}" is killed and started again')
def step_restart(context: Context, node: str) -> None:
    context.deployment.nodes[node].process.kill()
    context.deployment.restart_node(node)


@then('node "{node}" has the newest revision within {seconds:d} seconds')
def step_newest(context: Context, node: str, seconds: int) -> None:
    newest = context.accepted[-1].json()['revision']
    found = context.deployment.nodes[node]
    assert wait_until(lambda: found.revision() == newest, seconds)


@then(
    'every accepted revision was in force at every node within {bound:d} seconds'
)
def step_in_force(context: Context, bound: int) -> None:
    newest = max(answer.json()['revision'] for answer in context.accepted)
    wait_until(lambda: context.deployment.in_force(newest), bound)
    time.sleep(LAST_POLL_SECONDS)
    context.seen = by_node(context.polls.stop())
    for answer in context.accepted:
        revision = answer.json()['revision']
        for node, seen in context.seen.items():
            delay = first_seen(list(seen), revision) - answer.ended
            assert delay < bound, (node, revision, delay)


def first_seen(seen: list[RevisionSeen], revision: int) -> float:
    times = (each.at for each in seen if each.revision >= revision)
    return min(times, default=float('inf'))


@then('no node reverted to an older revision')
def step_no_revert(context: Context) -> None:
    for node, seen in context.seen.items():
        revisions = [each.revision for each in seen]
        assert revisions == sorted(revisions), node
