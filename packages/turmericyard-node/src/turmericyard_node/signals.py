"""Signals as bytes that the loop can wait for."""

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
    """Return a socket that receives the number of each signal as a byte."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    for number in numbers:
        signal.signal(number, partial(notify, writer))
    return curio.io.Socket(reader)


def notify(writer: socket.socket, number: int, _frame: object) -> None:
    """Write the signal's number; it is dropped when nobody reads."""
    with suppress(OSError):
        writer.send(bytes((number,)))
