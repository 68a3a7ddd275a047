"""Runs a node that serves the project's own HTTP interface."""

import sys
from pathlib import Path

import click
import curio
import eliot
from returns.result import Success

from turmericyard_node.application import create_application
from turmericyard_node.lifecycle import add_hooks
from turmericyard_node.settings import NodeSettings, read_settings
from turmericyard_node.signals import watch_signals

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def run(settings_file: Path) -> None:
    """Run one node until SIGTERM or SIGINT.

    Exits with a message when a setting, a secret file or an address is wrong.
    """
    checked = read_settings(settings_file)
    if not isinstance(checked, Success):
        click.echo(checked.failure().message, err=True)
        sys.exit(EXIT_SETTINGS)
    settings = checked.unwrap()
    eliot.to_file(sys.stdout)
    try:
        curio.run(run_node, settings, read_secrets(settings))
    except OSError as error:
        click.echo(
            f'{error}: free the address or change [node] in {settings_file}',
            err=True,
        )
        sys.exit(EXIT_ADDRESS)


def read_secrets(settings: NodeSettings) -> tuple[bytes, bytes]:
    """Return the cluster secret and the operator token.

    Exits with a message when a file is unreadable or empty.
    """
    contents = []
    for path in (
        settings.secrets.cluster_file,
        settings.secrets.operator_token_file,
    ):
        try:
            secret = path.read_bytes().strip()
        except OSError as error:
            click.echo(f'[secrets] {path}: {error.strerror}', err=True)
            sys.exit(EXIT_SETTINGS)
        if not secret:
            click.echo(f'[secrets] {path}: the file is empty', err=True)
            sys.exit(EXIT_SETTINGS)
        contents.append(secret)
    return contents[0], contents[1]


async def run_node(
    settings: NodeSettings, secrets: tuple[bytes, bytes]
) -> None:
    """Start the node, wait for a stop signal and drain the node."""
    wakeup = watch_signals()
    application = create_application(settings, *secrets)
    add_hooks(application)
    await application.start()
    click.echo(ready_line(settings))
    async with wakeup:
        await wakeup.recv(1)
    await application.stop()


def ready_line(settings: NodeSettings) -> str:
    """Return `ready CALLER_PORT OPERATOR_PORT` for the starting program."""
    ports = (
        address.rpartition(':')[2]
        for address in (
            settings.node.caller_address,
            settings.node.operator_address,
        )
    )
    return ' '.join(('ready', *ports))
