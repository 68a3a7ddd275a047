"""Accepts connections for stand-ins that read and write raw bytes."""

from collections.abc import Awaitable, Callable

import curio


async def serve_raw(
    listener: object, answer: Callable[[object], Awaitable[None]]
) -> None:
    """Answer each connection in a task of its own until cancelled."""
    async with listener:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(answer, sock, daemon=True)
