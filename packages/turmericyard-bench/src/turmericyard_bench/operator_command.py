"""Runs the operators' command as a process."""

import json
import subprocess  # noqa: S404
import sys
from dataclasses import dataclass
from typing import Any

from turmericyard_http.clock import boot_seconds

OPERATOR_MODULE = 'turmericyard_operator.main'
OPERATOR_TIMEOUT_SECONDS = 30


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The result of one operators' command; `ended` in boot-clock seconds."""

    status: int
    output: str
    errors: str
    ended: float

    def json(self) -> Any:
        """Return the decoded output of a command with JSON output."""
        return json.loads(self.output)


def run_operator(*arguments: str) -> OperatorAnswer:
    """Run the command and wait for it.

    Raises TimeoutExpired when it takes over OPERATOR_TIMEOUT_SECONDS.
    """
    completed = subprocess.run(  # noqa: S603
        (sys.executable, '-m', OPERATOR_MODULE, *arguments),
        capture_output=True,
        text=True,
        timeout=OPERATOR_TIMEOUT_SECONDS,
        check=False,
    )
    return OperatorAnswer(
        completed.returncode,
        completed.stdout,
        completed.stderr,
        boot_seconds(),
    )
