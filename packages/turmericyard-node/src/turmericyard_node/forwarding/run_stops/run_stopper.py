"""Asks endpoints to stop runs, until each has replied."""

from dataclasses import dataclass, field

import curio

from turmericyard_http.clock import Clock
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.copies import CopyCalls, CopyCleaner
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.run_stops.run_stop import RunStop
from turmericyard_node.forwarding.runs import Run
from turmericyard_ports.border import PlatformAdapter

#: Time for which an endpoint without a reply is asked again, in seconds.
REPEAT_SECONDS = 10.0
#: Pause before an endpoint is asked again, in seconds; doubled each time.
FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 1.0
#: Longest pause while the endpoint works on the run and its client waits.
MAX_CLIENT_PAUSE_SECONDS = 0.2


@dataclass(slots=True)
class RunStopper:
    """Stops runs in background tasks; `stops` are those under way."""

    platform_adapter: PlatformAdapter
    platform_state: PlatformState
    paths: EndpointPaths
    cleaner: CopyCleaner
    tasks: BackgroundTasks
    instruments: Instruments
    clock: Clock
    copy_calls: CopyCalls = field(default_factory=CopyCalls)
    stops: dict[tuple[Job, str], RunStop] = field(default_factory=dict)

    async def stop(self, job: Job, endpoint: Endpoint, until: float) -> None:
        """Stop what an endpoint may run of a request whose answer is lost.

        Returns when the request may run at another endpoint, or at `until`, on
        the node's clock in seconds. `job.running_at` then has an endpoint that
        still works on it.
        """
        run_stop = await self.begin(job, endpoint)
        if run_stop is not None:
            await run_stop.wait(until)

    async def begin(
        self, job: Job, endpoint: Endpoint, run: Run | None = None
    ) -> RunStop | None:
        """Begin to stop a run; None if its endpoint cannot be asked.

        `run` is the run that is to go on at another endpoint. A stop that is
        under way is returned instead of a second one, which the copy that is
        made for the first would hold up.
        """
        engine = job.service.engine
        if engine is None or not engine.can_copy_runs:
            return None
        key = (job, endpoint.identity)
        known = self.stops.get(key)
        if known is not None:
            return known
        run_stop = RunStop(
            job, endpoint, run, self.copy_calls, self.clock, self.clock()
        )
        self.choose_holder(run_stop)
        if run_stop.holder is None:
            return None
        job.unstopped_endpoints.add(endpoint.identity)
        run_stop.unanswered_since = run_stop.began_at
        self.stops[key] = run_stop
        await self.tasks.spawn(self.repeat_until_stopped, run_stop)
        return run_stop

    def choose_holder(self, run_stop: RunStop) -> None:
        """Choose where the memory of a run goes that is stopped.

        That is where the run is to go on, if possible.
        """
        run = run_stop.run
        if run is not None and run.current_endpoint is run_stop.endpoint:
            run_stop.holder = run.copy.holder if run.copy else run.backup
            run_stop.keeps_copy = run.copy is not None
        if not self.may_hold(run_stop.holder):
            run_stop.holder = self.find_holder(run_stop.endpoint)
            run_stop.keeps_copy = False

    def may_hold(self, holder: Endpoint | None) -> bool:
        """Return whether there is a holder and it may be used."""
        return holder is not None and self.platform_state.may_hold_copy(holder)

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
        """Ask an endpoint to stop a run until it has, then free the copy.

        The endpoint stops by itself at the deadline of the request.
        """
        job = run_stop.job
        pause = FIRST_PAUSE_SECONDS
        try:
            while run_stop.holder is not None:
                await self.request(run_stop, run_stop.holder)
                if run_stop.has_stopped:
                    break
                if self.clock() + pause >= self.last_request_at(run_stop):
                    break
                pause = await self.pause(run_stop, pause)
                self.choose_holder(run_stop)
        finally:
            self.stops.pop((job, run_stop.endpoint.identity))
            await run_stop.end()
        self.record_end(run_stop)
        unused = run_stop.unused_memory()
        if unused is not None and run_stop.holder is not None:
            await self.cleaner.free_copied(job, unused, run_stop.holder)

    async def pause(self, run_stop: RunStop, seconds: float) -> float:
        """Wait before an endpoint is asked again; return the next pause.

        A copy that this node has requested is waited for: until its end, the
        endpoint would refuse again.
        """
        job, endpoint = run_stop.job, run_stop.endpoint
        if run_stop.goes_on and self.copy_calls.is_under_way(job, endpoint):
            await self.copy_calls.wait(job, endpoint, MAX_PAUSE_SECONDS)
            return FIRST_PAUSE_SECONDS
        await curio.sleep(seconds)
        longest = MAX_PAUSE_SECONDS
        if run_stop.goes_on and run_stop.is_awaited:
            longest = MAX_CLIENT_PAUSE_SECONDS
        return min(2 * seconds, longest)

    def last_request_at(self, run_stop: RunStop) -> float:
        """Return the time after which an endpoint is not asked again."""
        if run_stop.goes_on:
            return run_stop.job.deadline_at
        return min(run_stop.job.deadline_at, run_stop.began_at + REPEAT_SECONDS)

    async def request(self, run_stop: RunStop, holder: Endpoint) -> None:
        """Ask an endpoint once to stop a run, and record its reply."""
        await run_stop.record_request()
        reply = await self.platform_adapter.copy_run(
            self.paths.connect,
            run_stop.endpoint.record.address,
            run_stop.job.attempt,
            holder.record.address,
            last=True,
        )
        await run_stop.record_reply(reply)

    def record_end(self, run_stop: RunStop) -> None:
        """Count and log how an endpoint was stopped."""
        self.instruments.record_stop(
            run_stop.job.service.name, run_stop.outcome
        )
        log_event(
            Event.RUN_STOPPED
            if run_stop.has_stopped
            else Event.RUN_NOT_STOPPED,
            attempt=run_stop.job.attempt,
            endpoint=run_stop.endpoint.identity,
            outcome=run_stop.outcome,
            tries=run_stop.tries,
            refusals=run_stop.refusals,
            seconds=round(self.clock() - run_stop.began_at, 4),
        )
