"""Steps for a deployment over four availability zones."""

import curio
from behave import then, when
from behave.runner import Context

from support.runs import Run, ask
from turmericyard_bench.caller import Caller
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import CallRecord, StreamRecord
from turmericyard_bench.transcript import length_word

TOKENS = 60
PATIENCE_SECONDS = 20
KEY = 'vehicle-4711'


@then(
    'each of {count:d} availability zones has a node and endpoints in service'
)
def step_zones(context: Context, count: int) -> None:
    run: Run = context.run
    nodes = run.deployment.nodes.values()
    assert len({node.zone for node in nodes}) == count
    for node in nodes:
        status = node.status()
        zones = {
            endpoint['zone']
            for endpoint in status['endpoints']
            if endpoint['state'] == 'in service'
        }
        assert zones == {each.zone for each in nodes}, status


@when('a caller of "{workspace}" asks for a "{product}"')
def step_ask(context: Context, workspace: str, product: str) -> None:
    run: Run = context.run
    context.caller = Caller(workspace, run.deployment.addresses())
    prompt = f'gearbox and doors {length_word(TOKENS)}'
    context.record = StreamRecord('sheet-1', workspace, product, prompt)
    run.load.streams.append(context.record)
    curio.run(ask, context.caller, context.record)


@when('the caller makes the call "{product}" twice with the same key')
def step_call(context: Context, product: str) -> None:
    run: Run = context.run
    context.calls = [
        CallRecord(name, context.caller.workspace, product, KEY, 'crushed')
        for name in ('entry-1', 'entry-2')
    ]
    run.load.calls.extend(context.calls)
    for record in context.calls:
        curio.run(call, context.caller, record)


async def call(caller: Caller, record: CallRecord) -> None:
    await caller.call(record, patience_seconds=PATIENCE_SECONDS)


@then('the sheet is complete and has every token')
def step_complete(context: Context) -> None:
    record: StreamRecord = context.record
    assert record.whole, record
    assert len(record.tokens) == record.told_tokens == TOKENS, record


@then('the call ran once and both answers are its result')
def step_once(context: Context) -> None:
    first, second = context.calls
    assert first.done, first
    assert second.done, second
    assert first.result == second.result, context.calls
    assert read_ledgers(context.run.deployment).runs_by_key()[KEY] == 1


@then('no invariant of the run is broken')
def step_invariants(context: Context) -> None:
    broken = context.run.broken_invariants()
    assert not broken, broken
