"""Steps for answers that arrive late, swapped or truncated."""

from typing import Any

import curio
from behave import then, when
from behave.runner import Context

from turmericyard_bench.caller import Caller
from turmericyard_bench.records import CallRecord

WORKSPACE = 'kranj-dom'
FAULTS: dict[str, dict[str, Any]] = {
    "answer after the caller's timeout": {'late_answer': True},
    'swap the answers of two calls': {'swap_answers': True},
    'truncate the next answers': {'truncate_answer': 3},
    'close after running without answer': {'kill_after_run': 3},
}
#: Duration of the fault, in seconds.
FAULT_SECONDS = 2
HEALTHY = {
    'late_answer': False,
    'swap_answers': False,
    'truncate_answer': 0,
    'kill_after_run': 0,
}
PATIENCE_SECONDS = 60


@when('services {fault} while {count:d} reads with distinct payloads are sent')
def step_reads(context: Context, fault: str, count: int) -> None:
    control(context, FAULTS[fault])

    async def run() -> None:
        async with curio.TaskGroup() as group:
            for number in range(count):
                await group.spawn(read, context, number)
            await group.spawn(end_fault, context)

    context.records = []
    curio.run(run)


def control(context: Context, faults: dict[str, Any]) -> None:
    for name, process in context.deployment.endpoints.items():
        if name.startswith('booking'):
            process.control(**faults)


async def end_fault(context: Context) -> None:
    await curio.sleep(FAULT_SECONDS)
    control(context, HEALTHY)


async def read(context: Context, number: int) -> None:
    addresses = context.deployment.addresses()
    caller = Caller(WORKSPACE, addresses if number % 2 else addresses[::-1])
    payload = {'door': number}
    name = f'read-{number}'
    record = CallRecord(name, WORKSPACE, 'visit-history', '', payload)
    context.records.append(record)
    await caller.call(record, patience_seconds=PATIENCE_SECONDS)


@then('every read was answered with its own payload')
def step_own_payload(context: Context) -> None:
    records: list[CallRecord] = context.records
    assert records
    for record in records:
        assert record.done, (record.name, record.verdicts)
        assert record.result['echo'] == record.payload, record
