"""Steps for the launcher of processes."""

import os
import signal
import time

from behave import given, then, when
from behave.runner import Context

STORE = 'turmericyard_bench.standins.store'
STOP_TIMEOUT_SECONDS = 10


@given('a launcher that started two stores under one name')
def step_start_two(context: Context) -> None:
    context.pair = [
        context.launcher.start_ready('store', STORE) for _ in range(2)
    ]


@when('the launcher is closed')
def step_close(context: Context) -> None:
    context.launcher.close()


@then('both processes have stopped')
def step_both_stopped(context: Context) -> None:
    running = [each for each in context.pair if each.is_running()]
    for each in running:
        each.kill()
    assert not running


@given('a run that started a process')
def step_start_run(context: Context) -> None:
    context.run = context.launcher.start_ready('run', 'support.idle_launcher')
    context.started = context.run.ports[0]


@when('the run receives SIGTERM')
def step_terminate(context: Context) -> None:
    context.run.terminate()
    assert context.run.wait(STOP_TIMEOUT_SECONDS) is not None


@then('the process that it started has stopped')
def step_process_stopped(context: Context) -> None:
    deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
    while exists(context.started) and time.monotonic() < deadline:
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
