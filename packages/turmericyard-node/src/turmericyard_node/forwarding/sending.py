"""Sends a request to an endpoint and classifies the outcome."""

from dataclasses import dataclass, field

from returns.result import Result, Success

from turmericyard_decisions.service_retry_budget import ServiceRetryBudget
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.crash_detector import CrashDetector
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_response import (
    EndpointResponse,
    ResponseHead,
    send_request,
)
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.rollout.rollouts import Rollouts
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.request import Continuation, ForwardingContext, Verdict
from turmericyard_ports.settings import Bounds

UNAVAILABLE = 503
CRASHING_DETAIL = (
    'endpoints crash each time they run this request or a part of its prompt:'
    ' change it'
)
#: Answers with this status or a higher one count as failures of the endpoint.
SERVER_ERROR = 500
#: Answers that are not the endpoint's answer to the request.
INVALID_ANSWERS = {
    Verdict.FOREIGN: 'the answer belongs to another request',
    Verdict.UNSIGNED: 'the answer is not signed',
    Verdict.UNCLEAR: 'the answer does not say whether the request has run',
    Verdict.ENCODED: 'the body of the answer is encoded',
}
#: Answers that come from the endpoint itself.
TRUSTED_ANSWERS = frozenset(
    (
        Verdict.ANSWERED,
        Verdict.NOT_RUN,
        Verdict.UNCLEAR,
        Verdict.ENCODED,
    )
)


@dataclass(frozen=True, slots=True)
class NotRun:
    """The endpoint has not run the request, so that another one may run it."""

    detail: str


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The endpoint gave no valid answer: it may have run the request."""

    detail: str


@dataclass(slots=True)
class Sender:
    """Sends requests within the retry budget of each service."""

    platform_adapter: PlatformAdapter
    bounds: Bounds
    fleet: Fleet
    clock: Clock
    instruments: Instruments
    crashes: CrashDetector
    rollouts: Rollouts
    budgets: dict[str, ServiceRetryBudget] = field(default_factory=dict)

    def budget(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            found = ServiceRetryBudget(
                self.bounds.retry_ratio, self.bounds.retry_window_seconds
            )
            self.budgets[service] = found
        return found

    def refuse_crashing(self, job: Job) -> Answer | None:
        """Return the refusal of a request that crashes endpoints, if it does."""
        if not self.crashes.refuses(job):
            return None
        seconds = self.crashes.seconds_left(job)
        log_event(
            Event.REQUEST_QUARANTINED,
            attempt=job.attempt,
            strikes={
                mark.hex(): self.crashes.strike_registry.known(mark).count
                for mark in job.marks
            },
            return_seconds=round(seconds, 1),
        )
        return self.platform_adapter.refusal(
            UNAVAILABLE, CRASHING_DETAIL, seconds
        )

    def may_retry(self, job: Job) -> bool:
        """Return whether the retry budget of the fleet allows one more send."""
        allowance = self.bounds.retry_extra / self.fleet.size()
        return self.budget(job.service.name).allowed(allowance, self.clock())

    async def send(
        self,
        job: Job,
        endpoint: Endpoint,
        seconds: float,
        *,
        backup: Endpoint | None = None,
        copied: Continuation | None = None,
        connect_seconds: float | None = None,
    ) -> EndpointResponse | NotRun | MayHaveRun:
        """Send a request and return the answer, or why there is none.

        `connect_seconds` limits the time for connecting further.
        """
        now = self.clock()
        if not self.rollouts.admit(job, endpoint):
            return NotRun('the version of the endpoint gets nothing now')
        if job.send_count:
            self.budget(job.service.name).spend(now)
        job.send_count += 1
        endpoint.cold_rate.spend(now)
        endpoint.request_rate.spend()
        endpoint.sent_in_back_off += endpoint.is_backing_off(now)
        self.crashes.record_strikes_at_send(job)
        forwarding_context = ForwardingContext(
            endpoint.identity,
            job.seconds_left(now),
            job.workspace,
            job.urgency if job.service.engine else None,
            backup.record.address if backup else None,
            copied,
            job.resume_after,
        )
        result = await send_request(
            self.fleet.paths.connect,
            endpoint.record.address,
            job.incoming,
            self.platform_adapter.forwarded_headers(
                job.incoming, forwarding_context
            ),
            seconds,
            connect_seconds,
        )
        send_outcome = await self.classify(job, endpoint, result)
        self.rollouts.record_head(
            job, endpoint, is_valid=is_valid_or_not_run(send_outcome)
        )
        self.instruments.record_send(
            job.service.name, outcome_label(send_outcome)
        )
        log_event(
            Event.REQUEST_SENT,
            attempt=job.attempt,
            endpoint=endpoint.identity,
            send=job.send_count,
            seconds=round(self.clock() - now, 4),
            outcome=describe_outcome(send_outcome),
            backup=backup.identity if backup else None,
            continues=copied.source if copied else None,
        )
        return send_outcome

    async def classify(
        self,
        job: Job,
        endpoint: Endpoint,
        result: Result[EndpointResponse, HttpError],
    ) -> EndpointResponse | NotRun | MayHaveRun:
        """Return the outcome of a send, from its response or its error."""
        if not isinstance(result, Success):
            return await self.classify_error(job, endpoint, result.failure())
        response: EndpointResponse = result.unwrap()
        head = response.head
        verdict = self.platform_adapter.read_answer_signs(
            job.incoming, head.status, head.lines
        ).verdict
        if verdict in TRUSTED_ANSWERS:
            await self.observe_report(endpoint, head)
        if verdict is Verdict.ANSWERED:
            failed = head.status >= SERVER_ERROR
            self.fleet.tally.observe(endpoint, failed=failed)
            return response
        await response.close()
        invalid = INVALID_ANSWERS.get(verdict)
        if invalid is not None:
            self.fleet.tally.observe(endpoint, failed=True)
            return MayHaveRun(f'{invalid}, status {head.status}')
        if verdict is Verdict.MISDIRECTED:
            self.observe_unreachable(endpoint)
        return NotRun(f'{verdict.value}, status {head.status}')

    async def observe_report(
        self, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Act on what an answer says about the state of its endpoint."""
        report = self.platform_adapter.read_endpoint_report(
            head.status, head.lines
        )
        if report.back_off_seconds is not None:
            endpoint.back_off(self.clock() + report.back_off_seconds)
            log_event(
                Event.ENDPOINT_RESTS,
                endpoint=endpoint.identity,
                seconds=report.back_off_seconds,
            )
        await self.fleet.hub.findings.report_limit(
            endpoint, report.requests_per_second, report.rejections_per_second
        )
        if report.leaving:
            await self.fleet.hub.findings.report_leaving(endpoint)

    async def classify_error(
        self, job: Job, endpoint: Endpoint, error: HttpError
    ) -> NotRun | MayHaveRun:
        """Return the outcome of a send that ended with an error."""
        if isinstance(error, AnswerLost) and error.broken:
            await self.crashes.record_broken_answer(job, endpoint)
        if isinstance(error, NotSent):
            self.observe_unreachable(endpoint)
            return NotRun(error.detail)
        self.observe_failure(endpoint)
        return MayHaveRun(error.detail)

    def observe_unreachable(self, endpoint: Endpoint) -> None:
        """Record an unreachable endpoint unless this node reaches none."""
        if not self.fleet.paths.is_cut_off:
            self.fleet.tally.observe_unreachable(endpoint)

    def observe_failure(self, endpoint: Endpoint) -> None:
        """Record that an endpoint failed unless this node reaches none."""
        if not self.fleet.paths.is_cut_off:
            self.fleet.tally.observe(endpoint, failed=True)


def is_valid_or_not_run(
    outcome: EndpointResponse | NotRun | MayHaveRun,
) -> bool:
    """Return whether an outcome is no failure of a run."""
    if isinstance(outcome, EndpointResponse):
        return outcome.head.status < SERVER_ERROR
    return isinstance(outcome, NotRun)


def outcome_label(outcome: EndpointResponse | NotRun | MayHaveRun) -> str:
    """Return the label under which an outcome is counted."""
    if isinstance(outcome, EndpointResponse):
        return 'answered'
    return 'not run' if isinstance(outcome, NotRun) else 'lost'


def describe_outcome(outcome: EndpointResponse | NotRun | MayHaveRun) -> str:
    """Return the text of an outcome for the log."""
    if isinstance(outcome, EndpointResponse):
        return f'status {outcome.head.status}'
    if isinstance(outcome, NotRun):
        return f'not run: {outcome.detail}'
    return f'lost: {outcome.detail}'
