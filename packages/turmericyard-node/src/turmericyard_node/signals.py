"""Signals delivered as bytes on a socket, for the event loop to await."""

import signal
import socket
from collections.abc import Iterable
from contextlib import suppress
from functools import partial

import curio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def watch_signals(
    numbers: Iterable[int] = STOP_SIGNALS,
) -> curio.io.Socket:
    """Return a socket that receives each signal's number as one byte."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    for number in numbers:
        signal.signal(number, partial(write_signal_number, writer))
    return curio.io.Socket(reader)


def write_signal_number(
    writer: socket.socket, number: int, _frame: object
) -> None:
    """Write the signal's number; it is dropped when the write fails."""
    with suppress(OSError):
        writer.send(bytes((number,)))
