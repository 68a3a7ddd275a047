"""Aborts relayed streams whose engine sends nothing.

One loop counts the idle ticks of all streams, since a time-out on each read
would cost more than the read itself.
"""

from typing import TYPE_CHECKING

from turmericyard_node.callers.relay import Relay
from turmericyard_node.clock import sleep_to_tick

if TYPE_CHECKING:
    from turmericyard_node.application import Application

TICK_SECONDS = 0.25


async def watch_streams(application: 'Application') -> None:
    """Abort silent streams until cancelled; their relays resume them."""
    while True:
        await sleep_to_tick(TICK_SECONDS)
        silence = application.settings.timing.stream_silence_seconds
        for relay in tuple(application.streams):
            await count_idle_tick(relay, silence / TICK_SECONDS)


async def count_idle_tick(relay: Relay, limit: float) -> None:
    """Count a tick without an event; abort the stream past the limit.

    `limit` is a number of ticks. A pending read sees the aborted stream as a
    broken one.
    """
    relay.idle_ticks += 1
    if relay.stream is not None and relay.idle_ticks > limit:
        relay.idle_ticks = 0
        await relay.stream.abort()
