"""Exit statuses of the command."""

import sys
from enum import IntEnum
from typing import NoReturn

import click


class ExitStatus(IntEnum):
    """What an exit status of the command means."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_RUN = 7


def fail(status: ExitStatus, message: str) -> NoReturn:
    """Print a message on standard error and exit with the status."""
    click.echo(f'error: {message}', err=True)
    sys.exit(int(status))
