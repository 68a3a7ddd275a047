"""Forwards requests with a single complete answer, idempotent or not."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import OpaqueResponse
from turmericyard_node.forwarding.balancing.call_preferences import (
    CallPreferences,
)
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_response import EndpointResponse
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_tracker import LoadTracker, RequestLoad
from turmericyard_node.forwarding.sending import MayHaveRun, NotRun, Sender
from turmericyard_node.forwarding.waiting import NotPlaced, WaitingRoom
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.configuration import RepeatPolicy

if TYPE_CHECKING:
    from turmericyard_node.forwarding.hedging.hedging import Hedging

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
#: Share of the latency target after which an attempt of an idempotent request
#: is given up and the request is sent to another endpoint.
ATTEMPT_TIMEOUT_SHARE = 0.7
#: Rejections by endpoints after which a request is still sent again; one more
#: refuses it with a retry-after time.
MAX_REJECTIONS = 3
#: Retry-after time, in seconds, of a request that was rejected by every endpoint
#: to which it was sent.
RETRY_AFTER_SECONDS = 0.5
READ_ERRORS = (OSError, EOFError, curio.TaskTimeout)


@dataclass(slots=True)
class CallForwarder:
    """Forwards calls to plain services."""

    platform_adapter: PlatformAdapter
    sender: Sender
    room: WaitingRoom
    loads: LoadTracker
    clock: Clock
    preferences: CallPreferences
    #: Sends late requests to a second endpoint; None when that is off.
    hedging: 'Hedging | None' = None

    async def forward(self, job: Job) -> Answer:
        """Return the answer to a call, trying endpoints until one answers."""
        runs = 0
        rejections = 0
        last_answer: Answer | None = None
        while self.may_send(job, runs, rejections):
            endpoint = await self.place(job)
            if not isinstance(endpoint, Endpoint):
                return last_answer or endpoint
            outcomes = await self.run_at(job, endpoint, runs)
            job.excluded_endpoints.add(endpoint.identity)
            ran = [each for each in outcomes if not isinstance(each, NotRun)]
            rejections += len(outcomes) - len(ran)
            if not ran:
                continue
            runs += len(ran)
            last_answer = self.to_answer(job, ran[-1])
            if last_answer.status < SERVER_ERROR:
                return last_answer
        return last_answer or self.refuse(
            'every endpoint that was tried rejected the request',
            RETRY_AFTER_SECONDS,
        )

    async def place(self, job: Job) -> Endpoint | Answer:
        """Return the endpoint for a call, or the refusal of the call."""
        endpoint = await self.room.acquire(job)
        if isinstance(endpoint, NotPlaced):
            return self.refuse(endpoint.detail, endpoint.retry_after_seconds)
        return self.sender.refuse_crashing(job) or endpoint

    def to_answer(self, job: Job, outcome: Answer | MayHaveRun) -> Answer:
        """Return the client's answer for the outcome of a run."""
        if isinstance(outcome, MayHaveRun):
            return self.refuse_unknown_outcome(job, outcome)
        return outcome

    def may_send(self, job: Job, runs: int, rejections: int) -> bool:
        """Return whether the request may be sent to another endpoint."""
        if not job.send_count:
            return True
        idempotent = job.route.kind is RepeatPolicy.IDEMPOTENT
        if runs and not (idempotent and runs < job.route.attempts):
            return False
        if self.sender.crashes.refuses(job):
            return False
        if rejections > MAX_REJECTIONS or not self.sender.may_retry(job):
            return False
        return job.seconds_left(self.clock()) > 0

    async def run_at(
        self, job: Job, endpoint: Endpoint, earlier_runs: int
    ) -> list[Answer | NotRun | MayHaveRun]:
        """Return the outcomes of a request at an endpoint, and of a hedge."""
        limit = self.attempt_timeout(job, earlier_runs + 1)
        if self.hedging is None or not self.hedging.applies(job):
            return [await self.call_endpoint(job, endpoint, limit)]
        return await self.hedging.run_call(
            self, job, endpoint, earlier_runs, limit
        )

    async def call_endpoint(
        self,
        job: Job,
        endpoint: Endpoint,
        seconds: float,
        connect_seconds: float | None = None,
    ) -> Answer | NotRun | MayHaveRun:
        """Send the request to an endpoint and count its load until the outcome."""
        load = self.loads.begin(RequestLoad(endpoint.identity))
        try:
            outcome = await self.exchange(
                job, endpoint, seconds, connect_seconds
            )
            self.record_version(job, endpoint, outcome)
        finally:
            self.loads.end(load)
            await self.room.placement.release(job, endpoint.identity)
        if isinstance(outcome, NotRun):
            self.preferences.observe_rejection(endpoint)
        return outcome

    def record_version(
        self,
        job: Job,
        endpoint: Endpoint,
        outcome: Answer | NotRun | MayHaveRun,
    ) -> None:
        """Count the outcome of a run for a version that is rolled out."""
        if isinstance(outcome, NotRun):
            return
        failed = (
            isinstance(outcome, MayHaveRun) or outcome.status >= SERVER_ERROR
        )
        self.sender.rollouts.record(job, endpoint, failed=failed)

    async def exchange(
        self,
        job: Job,
        endpoint: Endpoint,
        seconds: float,
        connect_seconds: float | None,
    ) -> Answer | NotRun | MayHaveRun:
        """Send the request and read the complete answer within the time limit.

        Returns the reason when there is no complete answer.
        """
        ends_at = self.clock() + seconds
        response = await self.sender.send(
            job, endpoint, seconds, connect_seconds=connect_seconds
        )
        if not isinstance(response, EndpointResponse):
            return response
        try:
            async with curio.timeout_after(max(0, ends_at - self.clock())):
                body = await response.read_all()
        except READ_ERRORS as error:
            self.sender.observe_failure(endpoint)
            if not isinstance(error, curio.TaskTimeout):
                await self.sender.crashes.record_broken_answer(job, endpoint)
            return MayHaveRun(repr(error))
        finally:
            await response.close()
        if response.ends_with_connection:
            await self.sender.crashes.record_unframed_answer(job, endpoint)
        else:
            await self.sender.crashes.record_completion(job)
        return self.answer(response, body)

    def answer(self, response: EndpointResponse, body: bytes) -> Answer:
        """Return a complete answer."""
        head = response.head
        return OpaqueResponse(
            head.status,
            self.platform_adapter.response_headers(head.lines),
            body,
        )

    def attempt_timeout(self, job: Job, attempt: int) -> float:
        """Return the time limit of an attempt, in seconds.

        The last attempt that is permitted gets all of the remaining time.
        """
        remaining = job.seconds_left(self.clock())
        if job.route.kind is not RepeatPolicy.IDEMPOTENT:
            return remaining
        if attempt >= job.route.attempts or not self.sender.may_retry(job):
            return remaining
        return min(
            remaining,
            job.route.latency_target_seconds * ATTEMPT_TIMEOUT_SHARE,
        )

    def refuse(self, detail: str, retry_after_seconds: float) -> Answer:
        """Return the refusal of a request that has not run."""
        return self.platform_adapter.refusal(
            UNAVAILABLE, detail, retry_after_seconds
        )

    def refuse_unknown_outcome(self, job: Job, outcome: MayHaveRun) -> Answer:
        """Return the refusal of a request that may have run."""
        late = job.seconds_left(self.clock()) <= 0
        status = GATEWAY_TIMEOUT if late else BAD_GATEWAY
        return self.platform_adapter.refusal(status, outcome.detail)
