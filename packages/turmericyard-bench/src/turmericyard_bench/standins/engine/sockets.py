"""Accepted sockets that can be reset or made silent."""

import os
import socket as system_socket
import struct
from functools import cache
from typing import Any

import curio

FOREVER_SECONDS = 86_400
RESET_LINGER = struct.pack('ii', 1, 0)


class FaultySocket:
    """A curio socket that, once silent, discards output and receives nothing.

    Has the methods of a socket that the HTTP server uses. A curio socket keeps
    its descriptor number after its context has ended, so `is_open` records
    whether it is still open.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.is_silent = False
        self.is_open = True

    async def __aenter__(self) -> 'FaultySocket':
        await self.sock.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        self.is_open = False
        await self.sock.__aexit__(*details)

    def fileno(self) -> int:
        """Return the descriptor to write to; the null device once silent."""
        return null_device() if self.is_silent else int(self.sock.fileno())

    def setsockopt(self, *args: Any) -> None:
        """Set an option of the socket."""
        self.sock.setsockopt(*args)

    async def recv(self, size: int) -> bytes:
        """Return received bytes; never returns once silent."""
        received = b'' if self.is_silent else await self.sock.recv(size)
        if self.is_silent:
            await curio.sleep(FOREVER_SECONDS)
        return bytes(received)

    async def sendall(self, payload: bytes) -> None:
        """Send the bytes; discard them once silent."""
        if not self.is_silent:
            await self.sock.sendall(payload)

    def reset_on_close(self) -> None:
        """Make the close send a reset instead of an orderly shutdown."""
        self.setsockopt(
            system_socket.SOL_SOCKET, system_socket.SO_LINGER, RESET_LINGER
        )


class FaultyListener:
    """A listener that tracks the sockets that it accepted."""

    def __init__(self, listener: Any) -> None:
        self.listener = listener
        self.accepted: list[FaultySocket] = []

    async def __aenter__(self) -> 'FaultyListener':
        await self.listener.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.listener.__aexit__(*details)

    async def accept(self) -> tuple[FaultySocket, Any]:
        """Return the next connection."""
        sock, peer = await self.listener.accept()
        faulty = FaultySocket(sock)
        self.accepted = [each for each in self.accepted if each.is_open]
        self.accepted.append(faulty)
        return faulty, peer

    def silence(self) -> None:
        """Make all connections that are open now permanently silent."""
        for faulty in self.accepted:
            faulty.is_silent = True

    def reset_on_close(self) -> None:
        """Make all open connections send a reset when they close."""
        for faulty in self.accepted:
            if faulty.is_open:
                faulty.reset_on_close()


@cache
def null_device() -> int:
    """Return a descriptor of the null device, opened for writing."""
    return os.open(os.devnull, os.O_WRONLY)
