"""Dispatches peers' messages to their handlers by message type.

A service registers a coroutine function for a message type:

    @handle_message.register(Heartbeat)
    async def handle_heartbeat(message: Heartbeat, sender, application): ...
"""

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from turmericyard_protocol.messages import Unsupported

if TYPE_CHECKING:
    from turmericyard_node.application import Application


@singledispatch
async def handle_message(
    message: Any, sender: str, application: 'Application'
) -> Any:
    """Return the reply to a message, or None if it has no reply."""
    return Unsupported(type(message).__name__)
