"""Continues streams at another endpoint.

A run continues from a copy or a backup. A resumable stream without either runs
anew after the last event that was passed on. Its endpoint may still work on a
run whose stream is lost, and is told to stop first.
"""

from dataclasses import dataclass, replace

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.admission.queue import WaitTimes
from turmericyard_node.forwarding.copies import CopyCleaner
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_response import EndpointResponse
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_tracker import LoadTracker, RequestLoad
from turmericyard_node.forwarding.placement import HubPlacement
from turmericyard_node.forwarding.run_stops.run_stopper import RunStopper
from turmericyard_node.forwarding.runs import Run
from turmericyard_node.forwarding.sending import MayHaveRun, NotRun, Sender
from turmericyard_ports.request import Continuation

#: Expected output from which a run has a backup, in tokens.
MIN_BACKUP_TOKENS = 100
#: Time limit for the response of an endpoint that continues a run, in seconds.
CONTINUE_TIMEOUT_SECONDS = 3.0
STILL_RUNNING_DETAIL = 'its endpoint works on it and could not be stopped'
#: Time for which a broken resumable stream waits for room, in seconds, and the
#: pause between two attempts to place it.
ROOM_SECONDS = 1.0
ROOM_PAUSE_SECONDS = 0.1


@dataclass(slots=True)
class StreamFailover:
    """Chooses backups and continues runs whose stream has failed."""

    sender: Sender
    placement: HubPlacement
    loads: LoadTracker
    clock: Clock
    cleaner: CopyCleaner
    stopper: RunStopper

    async def continue_elsewhere(self, run: Run, detail: str) -> bool:
        """Continue a run at another endpoint; return whether that worked."""
        run.is_interrupted = True
        await run.response.close()
        await self.placement.end_queue_place(run.job)
        if run.job.seconds_left(self.clock()) <= 0:
            return False
        if not self.sender.crashes.may_continue(
            run.job, established=run.was_established
        ):
            return False
        await self.stop_run(run)
        if await self.continue_from_copy(run, detail):
            return True
        if await self.run_anew(run, detail):
            return True
        if run.job.running_at:
            detail = f'{detail}: {STILL_RUNNING_DETAIL}'
        log_event(Event.STREAM_FAILED, attempt=run.job.attempt, message=detail)
        return False

    async def continue_from_copy(self, run: Run, detail: str) -> bool:
        """Continue a run from its copy or backup; return whether that worked."""
        for endpoint, copied in self.continuations(run):
            if run.job.running_at:
                return False
            if not self.placement.endpoint_selector.platform_state.may_continue_run(
                endpoint
            ):
                continue
            if await self.continue_at(run, endpoint, copied):
                log_event(
                    Event.STREAM_CONTINUED,
                    attempt=run.job.attempt,
                    endpoint=endpoint.identity,
                    copy=copied.source,
                    after=run.event_joiner.last,
                    cause=detail,
                )
                return True
        return False

    async def stop_run(self, run: Run) -> None:
        """Stop a run at its endpoint if it can go on at another one.

        A copy that is under way is waited for: the run goes on from it.
        """
        job = run.job
        may_go_on = (
            run.copy is not None
            or run.backup is not None
            or job.route.may_repeat
            or self.stopper.copy_calls.is_under_way(job, run.current_endpoint)
        )
        if not may_go_on:
            return
        run_stop = await self.stopper.begin(job, run.current_endpoint, run)
        if run_stop is None:
            return
        await run_stop.wait(run.client_waits_until())
        copy = run.copy
        if copy is not None and run_stop.copied and run_stop.keeps_copy:
            run.copy = replace(copy, copied=run_stop.copied)

    def continuations(self, run: Run) -> list[tuple[Endpoint, Continuation]]:
        """Return the endpoints that can continue the run, the best first."""
        found = []
        last = run.event_joiner.last or '0'
        if run.copy is not None:
            copied = run.copy.copied
            found.append(
                (
                    run.copy.holder,
                    Continuation(copied.source, copied.handle, last),
                )
            )
        if run.backup is not None:
            found.append(
                (
                    run.backup,
                    Continuation(
                        run.backup.record.address, run.job.attempt, last
                    ),
                )
            )
        return found

    async def continue_at(
        self, run: Run, endpoint: Endpoint, copied: Continuation
    ) -> bool:
        """Open the remaining stream of a run at an endpoint.

        Return whether that worked.
        """
        backup = await self.choose_backup(run.job, endpoint)
        seconds = min(
            CONTINUE_TIMEOUT_SECONDS, run.job.seconds_left(self.clock())
        )
        response = await self.sender.send(
            run.job, endpoint, seconds, backup=backup, copied=copied
        )
        if isinstance(response, MayHaveRun):
            until = run.client_waits_until()
            await self.stopper.stop(run.job, endpoint, until)
        if not isinstance(response, EndpointResponse):
            return False
        if not response.succeeded:
            await response.close()
            return False
        unused = run.copy
        if unused is not None and unused.holder is endpoint:
            unused = None
        self.attach(run, endpoint, response, backup)
        await self.cleaner.discard(run, unused)
        return True

    async def run_anew(self, run: Run, detail: str) -> bool:
        """Run a resumable stream anew after its last event.

        Return whether an endpoint does so.
        """
        job = run.job
        job.excluded_endpoints.add(run.current_endpoint.identity)
        job.resume_after = run.event_joiner.last
        while job.may_run_again() and self.sender.may_retry(job):
            endpoint = await self.find_room(job)
            if endpoint is None:
                return False
            job.excluded_endpoints.add(endpoint.identity)
            seconds = min(
                CONTINUE_TIMEOUT_SECONDS, job.seconds_left(self.clock())
            )
            response = await self.sender.send(job, endpoint, seconds)
            job.run_count += not isinstance(response, NotRun)
            if isinstance(response, MayHaveRun):
                until = run.client_waits_until()
                await self.stopper.stop(job, endpoint, until)
            if not isinstance(response, EndpointResponse):
                continue
            if response.succeeded:
                self.attach(run, endpoint, response, None)
                log_event(
                    Event.STREAM_CONTINUED,
                    attempt=job.attempt,
                    endpoint=endpoint.identity,
                    copy=None,
                    after=run.event_joiner.last,
                    cause=detail,
                )
                return True
            await response.close()
        await self.placement.end_queue_place(job)
        return False

    async def find_room(self, job: Job) -> Endpoint | None:
        """Return an endpoint for a broken stream; None if none has room soon."""
        queue = self.placement.queue_for(job)
        if queue is not None:
            times = WaitTimes(ROOM_SECONDS, 0, ROOM_SECONDS)
            found = await queue.find(job, times)
            if found is not None:
                return found if isinstance(found, Endpoint) else None
        until = min(self.clock() + ROOM_SECONDS, job.deadline_at)
        while True:
            endpoint = await self.placement.place(job)
            if endpoint is not None or self.clock() >= until:
                return endpoint
            await curio.sleep(ROOM_PAUSE_SECONDS)

    def attach(
        self,
        run: Run,
        endpoint: Endpoint,
        response: EndpointResponse,
        backup: Endpoint | None,
    ) -> None:
        """Bind a run to the endpoint that continues it."""
        self.loads.end(run.load)
        self.loads.end(run.backup_load)
        if run.copy is not None:
            self.loads.end(run.copy.load)
        run.load = self.loads.begin(
            RequestLoad(endpoint.identity, run.tokens())
        )
        run.backup_load = self.reserve_backup(run.job, backup)
        run.current_endpoint = endpoint
        run.response = response
        run.backup = backup
        run.copy = None
        run.is_interrupted = False
        run.moves += 1
        run.last_progress_at = self.clock()
        run.first_event_here_at = 0
        run.event_joiner.restart()
        run.update_load()

    async def choose_backup(
        self, job: Job, source: Endpoint
    ) -> Endpoint | None:
        """Return the endpoint for a backup of a run at `source`, if any."""
        engine = job.service.engine
        if engine is None or not engine.can_keep_backups:
            return None
        if job.expected_output() < MIN_BACKUP_TOKENS:
            return None
        return await self.placement.place_copy(
            job, job.memory_tokens(), source, backup=True
        )

    def reserve_backup(
        self, job: Job, backup: Endpoint | None
    ) -> RequestLoad | None:
        """Count the memory that a backup takes at its endpoint."""
        if backup is None:
            return None
        return self.loads.begin(
            RequestLoad(backup.identity, job.prompt_tokens(), lent=True)
        )
