"""Copies of runs: the calls that make them, and how they are freed.

An engine would keep a copy that is no longer needed for seconds, during which
the copy takes memory and a slot for which requests wait.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
from returns.result import Success

from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.runs import Run, RunCopy
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.endpoint import CopiedRun


@dataclass(slots=True)
class CopyCleaner:
    """Frees copies in background tasks, so that no stream waits for it."""

    platform_adapter: PlatformAdapter
    tasks: BackgroundTasks
    paths: EndpointPaths

    async def discard(self, run: Run, copy: RunCopy | None) -> None:
        """Start to free a copy that is not needed; None is ignored."""
        if copy is not None:
            await self.tasks.spawn(self.free, run, copy)

    async def free(self, run: Run, copy: RunCopy) -> None:
        """Free a copy of a run."""
        await self.free_copied(run.job, copy.copied, copy.holder)

    async def free_copied(
        self, job: Job, copied: CopiedRun, holder: Endpoint
    ) -> None:
        """Free a copy through its source, or at its holder if that fails."""
        failure = ''
        for address in (copied.source, holder.record.address):
            freed = await self.platform_adapter.free_copy(
                self.paths.connect, address, copied.handle
            )
            if isinstance(freed, Success):
                return
            failure = freed.failure()
        log_event(
            Event.COPY_NOT_FREED,
            attempt=job.attempt,
            holder=holder.identity,
            message=failure,
        )


@dataclass(slots=True)
class CopyCalls:
    """Calls of this node that copy runs, while their endpoints work on.

    An endpoint refuses to stop a run for as long as it copies it. `end_events`
    has an event for each call, which its end sets.
    """

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
