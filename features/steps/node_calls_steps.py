"""Steps for calls that must run at most once, across processes."""

import time
from collections.abc import Awaitable, Callable
from functools import partial

import curio
from behave import given, then, when
from behave.runner import Context

from turmericyard_bench.caller import UNREACHED, Caller
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import CallRecord, Verdict

WORKSPACE = 'kranj-dom'
BOOKING = 'booking'
PATIENCE_SECONDS = 12
IN_FLIGHT_SECONDS = 0.25
#: Maximum bookings sent through a node that has just started.
MAX_FIRST_BOOKINGS = 5
#: Kinds of refusals of calls that found no endpoint in time and did not run.
TOO_LATE = frozenset(('deadline', 'claim-too-old'))
#: Delay after which the caller sends again, to another node.
RESEND_SECONDS = 0.35


def booking(key: str, attempt: str, payload: str = 'x') -> CallRecord:
    return CallRecord(f'{key}-{attempt}', WORKSPACE, BOOKING, key, payload)


def caller_from(context: Context, first: int) -> Caller:
    addresses = context.deployment.addresses()
    return Caller(WORKSPACE, addresses[first:] + addresses[:first])


def run_all(tasks: list[Callable[[], Awaitable[None]]]) -> None:
    async def run() -> None:
        async with curio.TaskGroup() as group:
            for task in tasks:
                await group.spawn(task)

    curio.run(run)


@given('every node has answered a booking')
def step_every_node_answered(context: Context) -> None:
    for position in range(len(context.deployment.nodes)):
        caller = caller_from(context, position)
        assert any(
            is_done(caller, position, n) for n in range(MAX_FIRST_BOOKINGS)
        )


def is_done(caller: Caller, position: int, number: int) -> bool:
    """Send one more booking through a node; return whether it was done."""
    record = booking(f'first-{position}-{number}', 'a')
    curio.run(partial(caller.call, record, patience_seconds=PATIENCE_SECONDS))
    return record.done


@given('services take {seconds:g} seconds a call')
def step_slow_services(context: Context, seconds: float) -> None:
    for name, process in context.deployment.endpoints.items():
        if name.startswith('booking'):
            process.control(latency_seconds=seconds)


@given('the store takes {seconds:g} seconds a call')
def step_slow_store(context: Context, seconds: float) -> None:
    context.deployment.store.control(latency_seconds=seconds)


@when('{count:d} bookings are each sent to two nodes at once')
def step_two_nodes(context: Context, count: int) -> None:
    context.records = [
        booking(f'visit-{index}', side)
        for index in range(count)
        for side in ('a', 'b')
    ]

    def send(index: int) -> Callable[[], Awaitable[None]]:
        caller = caller_from(context, index % 3)
        record = context.records[index]
        return lambda: caller.call(record, patience_seconds=PATIENCE_SECONDS)

    run_all([send(index) for index in range(len(context.records))])


@when('the store loses the next {count:d} answers')
def step_lose_answers(context: Context, count: int) -> None:
    context.deployment.store.control(lose_answers=count)


@when('{count:d} bookings are each tried for {seconds:d} seconds')
def step_try(context: Context, count: int, seconds: int) -> None:
    context.records = [booking(f'visit-{index}', 'a') for index in range(count)]
    run_all(
        [
            lambda record=record: caller_from(context, 0).call(
                record, patience_seconds=seconds
            )
            for record in context.records
        ]
    )


def send_to_failing_node(
    context: Context, count: int, fail: Callable[[], Awaitable[None]]
) -> None:
    """Send each booking to a node while `fail` runs, and then to another."""
    context.records = []
    tasks: list[Callable[[], Awaitable[None]]] = [fail]
    for index in range(count):
        for side, first in (('a', 0), ('b', 1)):
            record = booking(f'visit-{index}', side)
            context.records.append(record)
            tasks.append(delayed(caller_from(context, first), record, first))
    run_all(tasks)


def delayed(
    caller: Caller, record: CallRecord, position: int
) -> Callable[[], Awaitable[None]]:
    async def send() -> None:
        await curio.sleep(position * RESEND_SECONDS)
        await caller.call(record, patience_seconds=PATIENCE_SECONDS)

    return send


@when(
    'a node is killed while {count:d} bookings are sent to it and resent to '
    'another'
)
def step_kill(context: Context, count: int) -> None:
    process = context.deployment.nodes['node-1'].process

    async def kill() -> None:
        await curio.sleep(IN_FLIGHT_SECONDS)
        process.kill()

    send_to_failing_node(context, count, kill)


@when(
    'a node is frozen for {seconds:d} seconds while {count:d} bookings are '
    'sent to it'
)
def step_freeze(context: Context, seconds: int, count: int) -> None:
    process = context.deployment.nodes['node-1'].process

    async def freeze() -> None:
        await curio.sleep(IN_FLIGHT_SECONDS)
        process.freeze()
        await curio.sleep(seconds)
        process.thaw()

    send_to_failing_node(context, count, freeze)
    time.sleep(2)


@when('one key is used for two different bookings')
def step_reuse(context: Context) -> None:
    context.records = [
        booking('visit-0', 'a', 'mrs novak'),
        booking('visit-0', 'b', 'mr kovač'),
    ]
    for record in context.records:
        curio.run(
            caller_from(context, 0).call(
                record, patience_seconds=PATIENCE_SECONDS
            )
        )


@then('the second booking is refused and one booking ran')
def step_refused(context: Context) -> None:
    first, second = context.records
    assert first.done
    assert second.verdicts[-1].kind == 'key-reused'
    assert runs(context) == {'visit-0': 1}


def runs(context: Context) -> dict[str, int]:
    return dict(read_ledgers(context.deployment).runs_by_key())


@then('no booking ran twice')
def step_at_most_once(context: Context) -> None:
    twice = {key: n for key, n in runs(context).items() if n > 1}
    assert not twice, twice


@then('no booking ran')
def step_none(context: Context) -> None:
    assert not runs(context)


def last_verdict(record: CallRecord) -> Verdict:
    """Return the last verdict of an attempt that reached a node.

    An attempt that reached no node gives no information about the call.
    """
    reached = [each for each in record.verdicts if each.outcome != UNREACHED]
    return reached[-1] if reached else Verdict('', 'none', '', 0)


def last_outcomes(context: Context) -> dict[str, str]:
    return {each.name: last_verdict(each).outcome for each in context.records}


@then('every booking was answered done by both nodes')
def step_done(context: Context) -> None:
    outcomes = last_outcomes(context)
    assert set(outcomes.values()) == {'done'}, outcomes
    assert len(runs(context)) == len(context.records) / 2


@then('every booking was answered done')
def step_all_done(context: Context) -> None:
    outcomes = last_outcomes(context)
    assert set(outcomes.values()) == {'done'}, outcomes


@then('every booking was answered not run')
def step_not_run(context: Context) -> None:
    outcomes = last_outcomes(context)
    assert set(outcomes.values()) == {'not-run'}, outcomes


@then('every booking was answered done or may have run')
def step_done_or_may_have_run(context: Context) -> None:
    outcomes = last_outcomes(context)
    assert set(outcomes.values()) <= {'done', 'may-have-run'}, outcomes
    ran = runs(context)
    for record in context.records:
        if record.done:
            assert ran.get(record.key) == 1, record


@then('every booking was answered done, may have run or too late to run')
def step_done_or_too_late(context: Context) -> None:
    wrong = [
        verdict
        for verdict in map(last_verdict, context.records)
        if verdict.outcome not in {'done', 'may-have-run'}
        and verdict.kind not in TOO_LATE
    ]
    assert not wrong, wrong
    ran = runs(context)
    for record in context.records:
        if record.done:
            assert ran.get(record.key) == 1, record


@then('at least one request of every booking was answered done or may have run')
def step_one_request(context: Context) -> None:
    outcomes = last_outcomes(context)
    answered = {
        record.key
        for record in context.records
        if outcomes[record.name] in {'done', 'may-have-run'}
    }
    assert answered == {record.key for record in context.records}, outcomes


@then('no request answered not run has run')
def step_refusals_correct(context: Context) -> None:
    run_requests = read_ledgers(context.deployment).worked_requests()
    wrong_refusals = [
        verdict
        for record in context.records
        for verdict in record.verdicts
        if verdict.outcome == 'not-run' and verdict.request in run_requests
    ]
    assert not wrong_refusals, wrong_refusals
