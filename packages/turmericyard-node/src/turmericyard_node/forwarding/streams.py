"""Forwards generations and relays their streams, also across endpoints."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from turmericyard_decisions.event_stream_joiner import (
    EventMissing,
    EventStreamJoiner,
    EventTooLong,
)
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import OpaqueResponse
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.balancing.endpoint_paces import EndpointPaces
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_response import EndpointResponse
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import SILENCE_SECONDS, Job
from turmericyard_node.forwarding.load_tracker import LoadTracker, RequestLoad
from turmericyard_node.forwarding.runs import Run, RunRegistry
from turmericyard_node.forwarding.sending import MayHaveRun, NotRun, Sender
from turmericyard_node.forwarding.stream_failover import StreamFailover
from turmericyard_node.forwarding.waiting import NotPlaced, WaitingRoom
from turmericyard_ports.border import PlatformAdapter

if TYPE_CHECKING:
    from turmericyard_node.forwarding.hedging.hedging import Hedging

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
#: Retry-after time, in seconds, of a request that was rejected by every endpoint
#: to which it was sent.
RETRY_AFTER_SECONDS = 0.5
#: Rejections by endpoints after which a request is still sent again; one more
#: refuses it with a retry-after time.
MAX_REJECTIONS = 3
#: Errors of a connection that the endpoint has closed or reset.
DISCONNECTS = (OSError, EOFError)
#: Errors after which the stream may continue at another endpoint.
STREAM_ERRORS = (*DISCONNECTS, EventMissing, EventTooLong, curio.TaskTimeout)


class StreamEnded(Exception):
    """Raised at the end of a complete stream."""


@dataclass(slots=True)
class StreamForwarder:
    """Forwards generations; their streams survive the loss of an endpoint."""

    platform_adapter: PlatformAdapter
    sender: Sender
    room: WaitingRoom
    stream_failover: StreamFailover
    loads: LoadTracker
    run_registry: RunRegistry
    clock: Clock
    instruments: Instruments
    paces: EndpointPaces
    #: Sends late requests to a second endpoint; None when that is off.
    hedging: 'Hedging | None' = None

    async def forward(self, job: Job) -> Answer:
        """Return the stream of a generation, or the refusal.

        A resumable stream that fails before its first event runs once more at
        another endpoint. The failure is the answer when that cannot be: a
        refusal would say that the request has not run.
        """
        rejection = ''
        answer: Answer | None = None
        while self.may_begin(job, answer):
            endpoint = await self.place(job)
            if not isinstance(endpoint, Endpoint):
                return answer or endpoint
            outcome = await self.begin(job, endpoint)
            if isinstance(outcome, NotRun):
                rejection = outcome.detail
            else:
                answer = outcome
            if answer is None or answer.status >= SERVER_ERROR:
                job.excluded_endpoints.add(endpoint.identity)
        return answer or self.refuse(rejection, RETRY_AFTER_SECONDS)

    async def place(self, job: Job) -> Endpoint | Answer:
        """Return the endpoint for a generation, or its refusal."""
        endpoint = await self.room.acquire(job)
        if isinstance(endpoint, NotPlaced):
            return self.refuse(endpoint.detail, endpoint.retry_after_seconds)
        refusal = self.sender.refuse_crashing(job)
        if refusal is not None:
            await self.room.placement.end_queue_place(job)
            return refusal
        return endpoint

    def may_begin(self, job: Job, answer: Answer | None) -> bool:
        """Return whether the request may be sent, after an answer or before."""
        if not job.send_count:
            return True
        if not self.sender.may_retry(job):
            return False
        rejections = job.send_count - job.run_count
        if answer is None:
            return rejections <= MAX_REJECTIONS
        return (
            answer.status >= SERVER_ERROR
            and rejections <= MAX_REJECTIONS
            and job.may_run_again()
            and job.seconds_left(self.clock()) > 0
        )

    async def begin(self, job: Job, endpoint: Endpoint) -> Answer | NotRun:
        """Send the request to an endpoint and open its stream."""
        if self.hedging is None or not self.hedging.applies(job):
            outcome = await self.run_at(job, endpoint)
        else:
            outcome = await self.hedging.run_stream(self, job, endpoint)
        return self.open(outcome) if isinstance(outcome, Run) else outcome

    async def run_at(
        self, job: Job, endpoint: Endpoint, *, with_backup: bool = True
    ) -> Run | Answer | NotRun:
        """Return the run of a request at an endpoint, or another outcome."""
        backup = None
        if with_backup:
            backup = await self.stream_failover.choose_backup(job, endpoint)
        prompt = job.prompt_tokens()
        load = self.loads.begin(
            RequestLoad(endpoint.identity, prompt, job.memory_tokens(), prompt)
        )
        backup_load = self.stream_failover.reserve_backup(job, backup)
        await self.loads.changed.set()
        started = False
        try:
            response = await self.sender.send(
                job, endpoint, job.seconds_left(self.clock()), backup=backup
            )
            job.run_count += not isinstance(response, NotRun)
            if isinstance(response, EndpointResponse) and response.succeeded:
                run = Run(
                    job,
                    endpoint,
                    response,
                    load,
                    backup,
                    backup_load,
                    EventStreamJoiner.after(job.resume_after),
                )
                run.last_progress_at = self.clock()
                self.run_registry.begin(run)
                started = True
                return run
        finally:
            if not started:
                self.loads.end(load)
                self.loads.end(backup_load)
                await self.room.placement.end_queue_place(job)
        return await self.answer_without_stream(job, endpoint, response)

    async def answer_without_stream(
        self,
        job: Job,
        endpoint: Endpoint,
        outcome: EndpointResponse | NotRun | MayHaveRun,
    ) -> Answer | NotRun:
        """Return the answer of an endpoint that opened no stream."""
        if isinstance(outcome, NotRun):
            return outcome
        if isinstance(outcome, MayHaveRun):
            if job.may_run_again():
                await self.stream_failover.stopper.stop(
                    job,
                    endpoint,
                    job.incoming.arrived_at + job.patience_seconds,
                )
            return self.platform_adapter.refusal(BAD_GATEWAY, outcome.detail)
        head = outcome.head
        seconds = min(SILENCE_SECONDS, job.seconds_left(self.clock()))
        try:
            async with curio.timeout_after(seconds):
                body = await outcome.read_all()
        except curio.TaskTimeout:
            return self.platform_adapter.refusal(
                GATEWAY_TIMEOUT,
                f'the failure of the endpoint, status {head.status}, was not'
                f' complete after {seconds:.1f} s',
            )
        except DISCONNECTS as error:
            await self.sender.crashes.record_broken_answer(job, endpoint)
            return self.platform_adapter.refusal(BAD_GATEWAY, repr(error))
        finally:
            await outcome.close()
        return OpaqueResponse(
            head.status,
            self.platform_adapter.response_headers(head.lines),
            body,
        )

    def open(self, run: Run) -> Answer:
        """Return the answer whose body is the stream of a run."""
        head = run.response.head
        return OpaqueResponse(
            head.status,
            self.platform_adapter.response_headers(head.lines),
            chunks=self.relay(run),
        )

    async def relay(self, run: Run) -> AsyncIterator[bytes]:
        """Yield complete events until the stream ends.

        Raises ConnectionAbortedError when no endpoint can continue the run.
        """
        outcome = 'client gone'
        started_at = self.clock()
        try:
            while True:
                events = await self.next_events(run)
                if events is None:
                    break
                yield events
            yield run.event_joiner.finish()
            outcome = 'whole'
            await self.record_completion(run)
        except ConnectionAbortedError as error:
            outcome = f'broken: {error}'
            raise
        finally:
            await self.end(run, outcome, started_at)

    async def next_events(self, run: Run) -> bytes | None:
        """Return the next complete events, None at the end of the stream.

        Continues the run at another endpoint when its stream fails. Raises
        ConnectionAbortedError when no endpoint can continue it.
        """
        while True:
            try:
                return await self.read(run)
            except StreamEnded:
                return None
            except STREAM_ERRORS as error:
                await self.record_disconnect(run, error)
                self.sender.rollouts.record_break(run)
                if not await self.stream_failover.continue_elsewhere(
                    run, repr(error)
                ):
                    raise ConnectionAbortedError(repr(error)) from error

    async def record_disconnect(self, run: Run, error: Exception) -> None:
        """Report a connection that broke: its endpoint may have crashed."""
        if isinstance(error, DISCONNECTS):
            await self.sender.crashes.record_broken_answer(
                run.job,
                run.current_endpoint,
                established=run.is_established_here(),
            )

    async def record_completion(self, run: Run) -> None:
        """Report a complete stream, or one that may end with a crash."""
        if run.response.ends_with_connection:
            await self.sender.crashes.record_unframed_answer(
                run.job,
                run.current_endpoint,
                established=run.is_established_here(),
            )
        else:
            await self.sender.crashes.record_completion(run.job)

    async def end(self, run: Run, outcome: str, started_at: float) -> None:
        """Close a run's stream, count it and log how it ended."""
        self.run_registry.end(run)
        await self.room.placement.end_queue_place(run.job)
        self.instruments.record_stream(
            run.job.service.name,
            outcome.partition(':')[0],
            run.first_seconds(),
            run.longest_gap,
        )
        log_event(
            Event.STREAM_ENDED,
            attempt=run.job.attempt,
            endpoint=run.current_endpoint.identity,
            outcome=outcome,
            events=run.event_joiner.delivered,
            moves=run.moves,
            first_seconds=run.first_seconds(),
            longest_gap=round(run.longest_gap, 3),
            gap_at=round(run.longest_gap_at, 3),
            seconds=round(self.clock() - started_at, 3),
        )
        await self.stream_failover.cleaner.discard(run, run.copy)
        await run.response.close()

    async def read(self, run: Run) -> bytes:
        """Return the complete events of the next bytes, if any.

        Raises StreamEnded at the end, and one of STREAM_ERRORS when the stream
        fails or ends inside an event.
        """
        run.gap_meter.begin_wait(self.clock())
        async with curio.timeout_after(self.read_timeout(run)):
            data = await run.response.read()
        if data:
            events = run.event_joiner.feed(data)
            run.response.count_incomplete(
                len(run.event_joiner.incomplete_event)
            )
            if events:
                was_established = run.is_established_here()
                run.record_events(self.clock())
                await self.paces.observe_events(run)
                self.sender.rollouts.record_events(run)
                if run.is_established_here() and not was_established:
                    await self.sender.crashes.record_established(run.job)
            return events
        if run.event_joiner.is_inside_event():
            raise EOFError('the stream ended inside an event')
        raise StreamEnded

    def read_timeout(self, run: Run) -> float:
        """Return the time limit of the next read, in seconds.

        Only complete events count as progress, so that single bytes do not
        keep a stalled stream open.
        """
        silence = SILENCE_SECONDS
        if not run.can_continue():
            silence = run.job.patience_seconds
        now = self.clock()
        return max(
            0,
            min(
                silence - (now - run.last_progress_at),
                run.job.seconds_left(now),
            ),
        )

    def refuse(self, detail: str, retry_after_seconds: float) -> Answer:
        """Return the refusal of a request that has not run."""
        return self.platform_adapter.refusal(
            UNAVAILABLE, detail, retry_after_seconds
        )
