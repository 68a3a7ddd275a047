"""The admission queue as the rest of a node sees it.

Its parts are loaded when a configuration first has a service with a queue: the
modules that a node imports decide how soon it serves on a small machine.
"""

from dataclasses import dataclass
from importlib import import_module
from typing import TYPE_CHECKING

import curio

from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.job import Job

if TYPE_CHECKING:
    from turmericyard_node.forwarding.admission.hub_queue import HubQueue
    from turmericyard_node.forwarding.admission.node_queue import NodeQueue

ASSEMBLY = 'turmericyard_node.forwarding.admission.assembly'
#: Interval at which a node without a queue looks whether it has one, in
#: seconds.
CHECK_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class WaitTimes:
    """How long a request may wait to be on time, has waited, and is held."""

    wait_seconds: float
    waited_seconds: float
    hold_seconds: float

    def after(self, seconds: float) -> 'WaitTimes':
        """Return the times after a further wait."""
        return WaitTimes(
            max(0, self.wait_seconds - seconds),
            self.waited_seconds + seconds,
            max(0, self.hold_seconds - seconds),
        )


@dataclass(frozen=True, slots=True)
class QueueRefusal:
    """Why a request gets no place, and when the client may retry."""

    detail: str
    retry_after_seconds: float


@dataclass(slots=True)
class AdmissionQueue:
    """Both sides of the queue of a node, loaded when they are needed."""

    fleet: Fleet
    selector: EndpointSelector
    node_queue: 'NodeQueue | None' = None

    @property
    def hub_queue(self) -> 'HubQueue':
        """Return the hub's side."""
        return self.load().hub_queue

    def load(self) -> 'NodeQueue':
        """Return the node's side; from the first call messages reach it."""
        if self.node_queue is None:
            assembly = import_module(ASSEMBLY)
            self.node_queue = assembly.create_node_queue(
                self.fleet, self.selector
            )
        return self.node_queue

    def refresh(self) -> None:
        """Load the queue if the configuration in force has one."""
        table = self.selector.platform_state.route_table
        if table is not None and table.resumable_services:
            self.load()

    def is_enabled(self, job: Job) -> bool:
        """Return whether the requests of a job's service are queued."""
        table = self.selector.platform_state.route_table
        if table is None or job.service.name not in table.resumable_services:
            return False
        return self.load().is_enabled(job)

    async def find(
        self, job: Job, times: WaitTimes
    ) -> Endpoint | QueueRefusal | None:
        """Return the endpoint for a request, as `NodeQueue.find` does."""
        return await self.load().find(job, times)

    async def release(self, job: Job) -> None:
        """Tell the hub that a request no longer uses its place, if it has one."""
        if job.queue_place:
            await self.load().release(job)

    async def run(self) -> None:
        """Run the hub's side once it is loaded, until cancelled."""
        while self.node_queue is None:
            await curio.sleep(CHECK_SECONDS)
        await self.node_queue.hub_queue.run()
