"""Steps for capacity limits of endpoints during failures of nodes."""

import time

from behave import given, then, when
from behave.runner import Context

from support.runs import WAIT_SECONDS, WORKSPACE, Run, start_run
from turmericyard_bench.caller import Caller
from turmericyard_bench.deployment import NodeProcess, wait_until
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import CallRecord
from turmericyard_http.clock import boot_seconds

PAUSE_BEFORE_FAILURE_SECONDS = 1

#: Time for peers to send several heartbeats to a frozen node, in seconds.
UNREAD_SECONDS = 0.6

#: Time for the shares of an ended process to be lent again, in seconds. The
#: delays of the design add up to 13 s (docs/DESIGN-permits.md); the rest allows
#: for delays on a machine under load.
SHARE_RETURN_SECONDS = 30
#: Reports asked for at a time, and the pause after them, in seconds.
REPORTS_AT_ONCE = 6
ASK_PAUSE_SECONDS = 1

#: Time for which permits of a killed node may still be used, in seconds.
PERMIT_SECONDS = 2


@given('{count:d} callers ask all nodes for reports of {tokens:d} tokens')
@when('{count:d} callers ask all nodes for reports of {tokens:d} tokens')
def step_ask_all(context: Context, count: int, tokens: int) -> None:
    run: Run = context.run
    for number in range(count):
        caller = run.caller_at(number)
        name = f'report-{len(run.load.streams) + 1}'
        run.start_report(name, tokens, caller)


@when('{count:d} callers ask all nodes for idempotent calls')
def step_call_all(context: Context, count: int) -> None:
    run: Run = context.run
    for number in range(count):
        record = CallRecord(
            f'call-{number}', WORKSPACE, 'visit-history', '', number
        )
        run.load.calls.append(record)
        run.spawn(call, run.caller_at(number), record)


async def call(caller: Caller, record: CallRecord) -> None:
    await caller.call(record, patience_seconds=WAIT_SECONDS)


def owner_names(run: Run) -> dict[str, str]:
    """Return the owner of each endpoint as the first running node says."""
    node = run.deployment.running_nodes()[0]
    return {row['name']: row['owner'] for row in node.status()['endpoints']}


def wait_for_owners(run: Run) -> None:
    owned = wait_until(lambda: all(owner_names(run).values()), WAIT_SECONDS)
    assert owned, owner_names(run)


def owner(context: Context) -> NodeProcess:
    run: Run = context.run
    wait_for_owners(run)
    return run.deployment.nodes[owner_names(run)[context.endpoint]]


@when('the node that owns engine {endpoint} is killed')
def step_kill_owner(context: Context, endpoint: str) -> None:
    context.endpoint = endpoint
    time.sleep(PAUSE_BEFORE_FAILURE_SECONDS)
    context.killed = owner(context)
    context.killed.process.kill()
    context.killed_at = boot_seconds()


@when('the node that owns engine {endpoint} is killed with messages unread')
def step_kill_unread(context: Context, endpoint: str) -> None:
    context.endpoint = endpoint
    time.sleep(PAUSE_BEFORE_FAILURE_SECONDS)
    context.killed = owner(context)
    context.killed.process.freeze()
    time.sleep(UNREAD_SECONDS)
    context.killed.process.kill()
    context.killed_at = boot_seconds()


@when('the node that owns engine {endpoint} is killed and started again')
def step_restart_owner(context: Context, endpoint: str) -> None:
    step_kill_owner(context, endpoint)
    context.run.deployment.restart_node(context.killed.name)


@when(
    'the node that owns engine {endpoint} is frozen for {seconds:d} seconds,'
    ' longer than a loan'
)
def step_freeze_owner(context: Context, endpoint: str, seconds: int) -> None:
    context.endpoint = endpoint
    time.sleep(PAUSE_BEFORE_FAILURE_SECONDS)
    frozen = owner(context)
    frozen.process.freeze()
    time.sleep(seconds)
    frozen.process.thaw()


@when('engines {first} and {second} die and start again')
def step_engines_return(context: Context, first: str, second: str) -> None:
    time.sleep(PAUSE_BEFORE_FAILURE_SECONDS)
    deployment = context.run.deployment
    for name in (first, second):
        deployment.endpoints[name].kill()
    for name in (first, second):
        deployment.restart_endpoint(name)


@when("the platform's store goes down for good")
def step_store_down(context: Context) -> None:
    wait_for_owners(context.run)
    context.run.deployment.store.control(down=True)


@then('all reports arrive complete')
def step_all_complete(context: Context) -> None:
    run: Run = context.run
    run.join()
    broken = [each for each in run.load.streams if not each.whole]
    assert not broken, broken[0].verdicts


@when(
    'callers ask all nodes for reports of {tokens:d} tokens'
    ' until engine {endpoint} has work'
)
def step_ask_until(context: Context, tokens: int, endpoint: str) -> None:
    ends_at = boot_seconds() + SHARE_RETURN_SECONDS
    while boot_seconds() < ends_at and not later_work(context, endpoint):
        step_ask_all(context, REPORTS_AT_ONCE, tokens)
        time.sleep(ASK_PAUSE_SECONDS)


def later_work(context: Context, endpoint: str) -> list[float]:
    """Return the times of work that the killed node can't have sent."""
    ended = context.killed_at + PERMIT_SECONDS
    return [
        entry.accepted
        for entry in read_ledgers(context.run.deployment).generations
        if entry.endpoint == endpoint and entry.accepted > ended
    ]


@then('engine {endpoint} got work from another node')
def step_got_work(context: Context, endpoint: str) -> None:
    assert later_work(context, endpoint), context.killed_at


@then('all calls are answered')
def step_all_called(context: Context) -> None:
    run: Run = context.run
    run.join()
    broken = [each for each in run.load.calls if not each.done]
    assert not broken, broken[0].verdicts


@given('a third of the reports have arrived')
def step_third(context: Context) -> None:
    records = context.run.load.streams
    arrived = wait_until(
        lambda: sum(each.ended for each in records) * 3 >= len(records),
        WAIT_SECONDS,
    )
    assert arrived, [each.ended for each in records]


@when('all engines turn cold with no warning')
def step_all_cold(context: Context) -> None:
    deployment = context.run.deployment
    for endpoint in deployment.example.endpoints:
        if endpoint.is_engine:
            deployment.endpoints[endpoint.name].control(cold=True)


@given('the Vodnik example runs with {nodes:d} nodes and warm engines')
def step_warm(context: Context, nodes: int) -> None:
    context.run = start_run(
        context.launcher, 'vodnik', nodes, engine_options=('--start-warm',)
    )
