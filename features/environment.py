"""Hooks of the behave run."""

import signal

from behave.model import Scenario
from behave.runner import Context

from support import failed_logs
from turmericyard_bench.launch import Launcher, create_launcher


def before_all(context: Context) -> None:
    """Delete the logs of an earlier run and stop ignoring SIGINT.

    A run that was started in the background ignores SIGINT, and the processes
    that it starts would inherit that.
    """
    failed_logs.PATH.unlink(missing_ok=True)
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        signal.signal(signal.SIGINT, signal.default_int_handler)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.launcher = create_launcher()


def after_scenario(context: Context, scenario: Scenario) -> None:
    launcher: Launcher = context.launcher
    if scenario.status != 'passed':
        directory = launcher.directory
        failed_logs.keep_logs(failed_logs.PATH, scenario.name, directory)
        print(f'logs of {scenario.name}: {directory}')
    launcher.close()
    if scenario.status == 'passed':
        launcher.discard_logs()
