"""Writes log lines to a descriptor without blocking."""

import os
import time
from dataclasses import dataclass

import orjson
from eliot import FileDestination, add_destinations

from turmericyard_node.events import Event

#: Lines written per second; further ones are dropped and counted.
LINES_PER_SECOND = 400


@dataclass(slots=True)
class BoundedOutput:
    """A file for eliot that drops lines beyond a rate or when a pipe is full.

    The number of dropped lines is logged before the next line that is written.
    """

    descriptor: int
    second: int = 0
    written: int = 0
    dropped: int = 0

    def write(self, line: bytes | str) -> int:
        """Write or drop one line; return its length in bytes."""
        encoded = line.encode() if isinstance(line, str) else line
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.written = 0
        if self.written >= LINES_PER_SECOND:
            self.dropped += 1
            return len(encoded)
        if self.dropped:
            encoded = dropped_line(self.dropped) + encoded
        try:
            os.write(self.descriptor, encoded)
        except OSError:
            self.dropped += 1
            return len(encoded)
        self.dropped = 0
        self.written += 1
        return len(encoded)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


def dropped_line(count: int) -> bytes:
    """Return the log line with the number of dropped lines."""
    number, name = Event.LOGS_DROPPED.value
    fields = {'message_type': name, 'event': number, 'count': count}
    return orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE)


def write_logs_to(descriptor: int) -> None:
    """Write all log lines to a descriptor, which becomes non-blocking."""
    os.set_blocking(descriptor, False)
    add_destinations(FileDestination(file=BoundedOutput(descriptor)))
