"""Steps for streams that continue after failures."""

import time

from behave import given, then, when
from behave.runner import Context

from support.runs import Run, start_run
from turmericyard_bench.caller import Caller

TOKENS_BEFORE_FAILURE = 40


@given('the {example} example runs with {nodes:d} nodes')
def step_example(context: Context, example: str, nodes: int) -> None:
    context.run = start_run(context.launcher, example.lower(), nodes)


@given('a caller reads a report of {tokens:d} tokens')
def step_report(context: Context, tokens: int) -> None:
    run: Run = context.run
    read_report(context, run.caller(), tokens)


@given('a caller behind a link reads a report of {tokens:d} tokens')
def step_behind_link(context: Context, tokens: int) -> None:
    run: Run = context.run
    target = run.deployment.addresses()[0]
    context.link = context.launcher.start_ready(
        'caller-link', 'turmericyard_bench.standins.link', ('--target', target)
    )
    caller = Caller('ljubljana-voda', [context.link.address])
    caller.addresses.extend(run.deployment.addresses()[1:])
    read_report(context, caller, tokens)


def read_report(context: Context, caller: Caller, tokens: int) -> None:
    context.caller = caller
    context.record = context.run.start_report('report-1', tokens, caller)
    context.run.wait_for_tokens(context.record, TOKENS_BEFORE_FAILURE)
    context.node_address = caller.address()


@given("the report's engine will {mistake} a token after a resume")
def step_mistake(context: Context, mistake: str) -> None:
    engine = context.run.engine_of(context.record)
    engine.control(**{f'{mistake}_chunk': 1})


@when('the relaying node is killed')
def step_kill_node(context: Context) -> None:
    context.run.node_at(context.node_address).process.kill()


@when('the relaying node is frozen for {seconds:d} seconds')
def step_freeze_node(context: Context, seconds: int) -> None:
    process = context.run.node_at(context.node_address).process
    process.freeze()
    time.sleep(seconds)
    process.thaw()


@when("the open connections of the report's engine go silent")
def step_silence(context: Context) -> None:
    context.run.engine_of(context.record).control(silence=True)


@when('the open connections of the link go silent')
def step_silence_link(context: Context) -> None:
    context.link.control(mode='silent')


@when("the report's engine crashes")
def step_engine_crashes(context: Context) -> None:
    context.run.engine_of(context.record).control(crash=True)


@then('the report arrives complete from one generation')
def step_complete_once(context: Context) -> None:
    step_complete(context)
    assert context.record.attempts == 1, context.record.verdicts


@then('the report arrives complete')
def step_complete(context: Context) -> None:
    context.run.join()
    assert context.record.whole, context.record.verdicts


@then('the caller did not resume')
def step_no_resume(context: Context) -> None:
    assert context.record.resumes == 0, context.record.breaks


@then('the caller gets the error "{kind}" and sends a new request')
def step_failure_kind(context: Context, kind: str) -> None:
    context.run.join()
    kinds = [verdict.kind for verdict in context.record.verdicts]
    assert kind in kinds, kinds
    assert context.record.attempts > 1


@then('every node still runs')
def step_nodes_run(context: Context) -> None:
    nodes = context.run.deployment.nodes
    ended = [n.name for n in nodes.values() if not n.process.is_running()]
    assert not ended, ended


@then('all invariants of the run hold')
def step_invariants(context: Context) -> None:
    broken = context.run.broken_invariants()
    assert not broken, broken
