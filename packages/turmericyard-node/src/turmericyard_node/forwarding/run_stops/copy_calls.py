"""Calls of this node that copy runs, while their endpoints work on.

An endpoint refuses to stop a run for as long as it copies it.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio

from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job


@dataclass(slots=True)
class CopyCalls:
    """The calls under way; each has an event that its end sets."""

    end_events: dict[tuple[Job, str], curio.Event] = field(default_factory=dict)

    @asynccontextmanager
    async def during(self, job: Job, endpoint: Endpoint) -> AsyncIterator[None]:
        """Record a call for as long as the context lasts."""
        ended = curio.Event()
        key = (job, endpoint.identity)
        self.end_events[key] = ended
        try:
            yield
        finally:
            self.end_events.pop(key)
            await ended.set()

    def is_under_way(self, job: Job, endpoint: Endpoint) -> bool:
        """Return whether this node has the run copied by the endpoint."""
        return (job, endpoint.identity) in self.end_events

    async def wait(self, job: Job, endpoint: Endpoint, seconds: float) -> None:
        """Wait until no such call is under way, `seconds` at most."""
        ended = self.end_events.get((job, endpoint.identity))
        if ended is not None:
            async with curio.ignore_after(seconds):
                await ended.wait()
