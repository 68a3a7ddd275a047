"""Steps for faults of the engine stand-in under an engine client."""

import time

import curio
from behave import then, when
from behave.runner import Context
from returns.result import Failure, Success

from support.engine_caller import Caller, load, start_many
from turmericyard_bench.deployment import wait_until
from turmericyard_clients.engine_errors import OutcomeUnknown

SOON_SECONDS = 30


@when('the engine crashes during a running stream')
def step_crash(context: Context) -> None:
    caller = context.caller
    context.restart = load(context).restart
    caller.run(caller.open, 30000)
    caller.run(caller.read, 20)
    context.engine.control(crash=True)
    caller.run(caller.read)


@when('the engine crashes during the running stream of another client')
def step_crash_other(context: Context) -> None:
    context.caller = Caller(context.engine.address, 'other')
    context.add_cleanup(context.caller.close)
    caller = context.caller
    context.restart = load(context).restart
    caller.run(caller.open, 30000)
    caller.run(caller.read, 20)
    context.engine.control(crash=True)
    caller.run(curio.ignore_after, SOON_SECONDS, caller.read)


@when('the engine silences its connections during a running stream')
def step_silence(context: Context) -> None:
    caller = context.caller
    caller.run(caller.open, 300)
    caller.run(caller.read, 20)
    context.engine.control(silence=True)


@when('the engine silences its connections and its generation is cancelled')
def step_cancel_silent(context: Context) -> None:
    caller = context.caller
    caller.run(caller.open, 30000)
    caller.run(caller.read, 20)
    # The client keeps the connection of this call.
    assert isinstance(caller.run(caller.client.load), Success)
    context.engine.control(silence=True)
    cancelled = caller.run(caller.client.cancel_generation, 'g')
    assert isinstance(cancelled, Success), cancelled


@when('the engine turns cold and gets {count:d} generations after the onset')
def step_cold_overload(context: Context, count: int) -> None:
    context.restart = load(context).restart
    context.engine.control(cold=True)
    time.sleep(1.2)
    context.caller.run(start_many, context.caller.client, count)


@when('the engine freezes for {seconds:d} second')
def step_freeze(context: Context, seconds: int) -> None:
    context.engine.control(freeze_seconds=seconds)
    time.sleep(0.2)


@then('the engine soon reports another restart id')
def step_restarted(context: Context) -> None:
    def restarted():
        report = context.caller.run(context.caller.client.load)
        return report.map(lambda seen: seen.restart).value_or(
            context.restart
        ) not in {context.restart}

    assert wait_until(restarted, SOON_SECONDS)


@then('the engine is cold')
def step_is_cold(context: Context) -> None:
    assert context.engine.ledger()['cold']


@then('the engine stream stays silent for {seconds:d} seconds')
def step_silent(context: Context, seconds: int) -> None:
    caller = context.caller

    async def is_silent():
        async with curio.ignore_after(seconds) as scope:
            while True:
                await caller.stream.read_events()
        return scope.expired

    async def drain_then_check():
        async with curio.ignore_after(0.3):
            await caller.read()
        before = caller.tokens
        assert await is_silent()
        assert caller.tokens == before
        await caller.stream.close()

    caller.run(drain_then_check)


@then('the engine ledger records an excess')
def step_excess(context: Context) -> None:
    excess = context.engine.ledger()['excesses'][0]
    assert excess['running'] > excess['capacity']


@then('the engine load call fails with an unknown outcome or answers late')
def step_frozen(context: Context) -> None:
    started = time.monotonic()
    outcome = context.caller.run(context.caller.client.load)
    late = time.monotonic() - started > 0.3
    assert late
    if isinstance(outcome, Failure):
        assert isinstance(outcome.failure(), OutcomeUnknown)
