"""Steps for the process of a forwarding node."""

import signal

from behave import then, when
from behave.runner import Context

from turmericyard_node.forwarding.command import EXIT_SETTINGS

START_SECONDS = 20


@when('a node without settings is signalled to reload them while it starts')
def step_early_signal(context: Context) -> None:
    context.process = context.launcher.start(
        'node',
        'turmericyard_node.main',
        ('--adapter', 'support.early_signal'),
    )


@when(
    "a node's process is signalled to reload its settings as soon as it exists"
)
def step_immediate_signal(context: Context) -> None:
    context.process = context.launcher.start(
        'node',
        'turmericyard_node.main',
        ('--adapter', 'support.early_signal'),
    )
    context.process.signal(signal.SIGHUP)


@then('its process exits with the status for invalid settings')
def step_status(context: Context) -> None:
    assert context.process.wait(START_SECONDS) == EXIT_SETTINGS
