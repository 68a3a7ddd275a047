"""Steps for the launcher of processes."""

import os
import signal
import time

from behave import given, then, when
from behave.runner import Context

STORE = 'turmericyard_bench.standins.store'
END_SECONDS = 10


@given('a launcher that started two stores under one name')
def step_two(context: Context) -> None:
    context.pair = [
        context.launcher.start_ready('store', STORE) for _ in range(2)
    ]


@when('the launcher is closed')
def step_close(context: Context) -> None:
    context.launcher.close()


@then('both of them have ended')
def step_ended(context: Context) -> None:
    running = [each for each in context.pair if each.is_running()]
    for each in running:
        each.kill()
    assert not running


@given('a run that started a process')
def step_run(context: Context) -> None:
    context.run = context.launcher.start_ready('run', 'support.idle_launcher')
    context.started = context.run.ports[0]


@when('the run is told to end')
def step_told(context: Context) -> None:
    context.run.terminate()
    assert context.run.wait(END_SECONDS) is not None


@then('the process it started has ended')
def step_gone(context: Context) -> None:
    ends_at = time.monotonic() + END_SECONDS
    while exists(context.started) and time.monotonic() < ends_at:
        time.sleep(0.05)
    left = exists(context.started)
    if left:
        os.kill(context.started, signal.SIGKILL)
    assert not left


def exists(process: int) -> bool:
    try:
        os.kill(process, 0)
    except ProcessLookupError:
        return False
    return True
