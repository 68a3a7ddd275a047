"""Frees copies of runs that are no longer needed.

An engine would otherwise keep a copy for seconds, during which the copy takes
memory and a slot for which requests wait.
"""

from dataclasses import dataclass

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
