"""Asks endpoints to stop runs, until each has replied."""

from dataclasses import dataclass

import curio

from turmericyard_http.clock import Clock
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.copies import CopyCleaner
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.run_stops.run_stop import NO_REPLY, RunStop
from turmericyard_ports.border import PlatformAdapter

#: Time for which an endpoint without a reply is asked again, in seconds.
REPEAT_SECONDS = 10.0
#: Pause before an endpoint is asked again, in seconds; doubled each time.
FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 1.0


@dataclass(slots=True)
class RunStopper:
    """Stops runs in background tasks."""

    platform_adapter: PlatformAdapter
    platform_state: PlatformState
    paths: EndpointPaths
    cleaner: CopyCleaner
    tasks: BackgroundTasks
    instruments: Instruments
    clock: Clock

    async def stop(self, job: Job, endpoint: Endpoint) -> None:
        """Stop what an endpoint may run of a request whose answer is lost.

        Returns when the request may run at another endpoint.
        """
        run_stop = await self.begin(job, endpoint)
        if run_stop is not None:
            await run_stop.wait()

    async def begin(
        self,
        job: Job,
        endpoint: Endpoint,
        holder: Endpoint | None = None,
        *,
        keeps_copy: bool = False,
    ) -> RunStop | None:
        """Begin to stop a run; None if its endpoint cannot be asked.

        `holder` is where the run is to go on; with `keeps_copy` it does so
        from the copy that is made for the stop.
        """
        engine = job.service.engine
        if engine is None or not engine.can_copy_runs:
            return None
        if holder is None or not self.platform_state.may_hold_copy(holder):
            holder = self.find_holder(endpoint)
            keeps_copy = False
        if holder is None:
            return None
        run_stop = RunStop(job, endpoint, holder, keeps_copy, self.clock())
        job.unstopped_endpoints.add(endpoint.identity)
        await self.tasks.spawn(self.repeat_until_stopped, run_stop)
        return run_stop

    def find_holder(self, endpoint: Endpoint) -> Endpoint | None:
        """Return an endpoint for the memory of a run, in its zone if possible.

        None when no other endpoint is usable.
        """
        usable = self.platform_state.usable_endpoints(endpoint.record.service)
        return min(
            (each for each in usable if each is not endpoint),
            key=lambda each: each.record.zone != endpoint.record.zone,
            default=None,
        )

    async def repeat_until_stopped(self, run_stop: RunStop) -> None:
        """Ask an endpoint to stop a run until it replies, then free the copy.

        The endpoint stops by itself at the deadline of the request.
        """
        job = run_stop.job
        ends_at = min(job.deadline_at, run_stop.began_at + REPEAT_SECONDS)
        pause = FIRST_PAUSE_SECONDS
        while not await self.request(run_stop):
            if self.clock() + pause >= ends_at:
                break
            await curio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
        if run_stop.outcome != NO_REPLY:
            job.unstopped_endpoints.discard(run_stop.endpoint.identity)
        await run_stop.ended.set()
        self.record_end(run_stop)
        unused = run_stop.unused_memory()
        if unused is not None:
            await self.cleaner.free_copied(job, unused, run_stop.holder)

    async def request(self, run_stop: RunStop) -> bool:
        """Ask an endpoint once; return whether it does not run it now."""
        reply = await self.platform_adapter.copy_run(
            self.paths.connect,
            run_stop.endpoint.record.address,
            run_stop.job.attempt,
            run_stop.holder.record.address,
            last=True,
        )
        return run_stop.record_reply(reply)

    def record_end(self, run_stop: RunStop) -> None:
        """Count and log how an endpoint was stopped."""
        stopped = run_stop.outcome != NO_REPLY
        self.instruments.record_stop(
            run_stop.job.service.name, run_stop.outcome
        )
        log_event(
            Event.RUN_STOPPED if stopped else Event.RUN_NOT_STOPPED,
            attempt=run_stop.job.attempt,
            endpoint=run_stop.endpoint.identity,
            outcome=run_stop.outcome,
            tries=run_stop.tries,
            seconds=round(self.clock() - run_stop.began_at, 4),
        )
