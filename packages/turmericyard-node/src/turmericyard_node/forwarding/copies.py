"""Frees copies of runs that are no longer needed.

An engine would otherwise keep a copy for seconds, during which the copy takes
memory and a slot for which requests wait.
"""

from dataclasses import dataclass

from returns.result import Success

from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.runs import Run, RunCopy
from turmericyard_ports.border import PlatformAdapter


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
        """Free a copy through its source, or at its holder if that fails."""
        failure = ''
        for address in (copy.copied.source, copy.holder.record.address):
            freed = await self.platform_adapter.free_copy(
                self.paths.connect, address, copy.copied.handle
            )
            if isinstance(freed, Success):
                return
            failure = freed.failure()
        log_event(
            Event.COPY_NOT_FREED,
            attempt=run.job.attempt,
            holder=copy.holder.identity,
            message=failure,
        )
