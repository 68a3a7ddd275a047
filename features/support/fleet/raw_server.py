"""Accepts connections for stand-ins that read and write raw bytes."""

from collections.abc import Awaitable, Callable
from socket import IPPROTO_TCP, SO_RCVBUF, SOL_SOCKET, TCP_MAXSEG
from typing import Any

import curio

from turmericyard_bench.launch import LOOPBACK, free_port
from turmericyard_http.server import open_listener

#: Receive buffer and segments of narrow listeners, in bytes: about those of a
#: link between machines. Loopback takes megabytes before it holds a sender up.
NARROW_BUFFER_BYTES = 65_536
NARROW_SEGMENT_BYTES = 1448


def open_narrow_listener() -> tuple[Any, str]:
    """Return a listener that takes little at a time, and its address."""
    listener = open_listener(LOOPBACK, free_port())
    listener.setsockopt(SOL_SOCKET, SO_RCVBUF, NARROW_BUFFER_BYTES)
    listener.setsockopt(IPPROTO_TCP, TCP_MAXSEG, NARROW_SEGMENT_BYTES)
    return listener, f'{LOOPBACK}:{listener.getsockname()[1]}'


async def serve_raw(
    listener: object, answer: Callable[[object], Awaitable[None]]
) -> None:
    """Answer each connection in a task of its own until cancelled."""
    async with listener:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(answer, sock, daemon=True)
