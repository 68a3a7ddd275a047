"""Sends one request to one endpoint and judges the answer."""

from dataclasses import dataclass, field

from returns.result import Result, Success

from turmericyard_decisions.repeat_budget import RepeatBudget
from turmericyard_http.clock import Clock
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.crashes import CrashWatch
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.passage import Head, Passage, open_passage
from turmericyard_ports.border import Border
from turmericyard_ports.request import Continuation, Onward, Verdict
from turmericyard_ports.settings import Bounds

#: Answers of endpoints that count against them.
FAILING = 500


@dataclass(frozen=True, slots=True)
class NotRun:
    """The endpoint has not run the request; another may."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """No answer came: the request may have run."""

    detail: str


@dataclass(slots=True)
class Sender:
    """Sends requests within the budgets that the fleet shares."""

    border: Border
    bounds: Bounds
    fleet: Fleet
    clock: Clock
    instruments: Instruments
    crashes: CrashWatch
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            found = RepeatBudget(
                self.bounds.retry_ratio, self.bounds.retry_window_seconds
            )
            self.budgets[service] = found
        return found

    def may_repeat(self, job: Job) -> bool:
        """Return whether the fleet's budget has room for one more send."""
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
    ) -> Passage | NotRun | Lost:
        """Return the endpoint's answer to this request, or what is known."""
        now = self.clock()
        if job.sends:
            self.budget(job.service.name).spend(now)
        job.sends += 1
        endpoint.cold_rate.spend(now)
        endpoint.sent_in_rest += endpoint.rests(now)
        self.crashes.note_send(job)
        onward = Onward(
            endpoint.identity,
            job.seconds_left(now),
            job.workspace,
            job.urgency if job.service.engine else None,
            backup.record.address if backup else None,
            copied,
        )
        opened = await open_passage(
            endpoint.record.address,
            job.arrival,
            self.border.onward_headers(job.arrival, onward),
            seconds,
        )
        judged = await self.judge(job, endpoint, opened)
        self.instruments.sent(job.service.name, kind_of(judged))
        log_event(
            Event.REQUEST_SENT,
            attempt=job.attempt,
            endpoint=endpoint.identity,
            send=job.sends,
            seconds=round(self.clock() - now, 4),
            outcome=outcome_of(judged),
            backup=backup.identity if backup else None,
            continues=copied.source if copied else None,
        )
        return judged

    async def judge(
        self, job: Job, endpoint: Endpoint, opened: Result[Passage, HttpError]
    ) -> Passage | NotRun | Lost:
        """Return what an opened passage or its failure means."""
        if not isinstance(opened, Success):
            return await self.judge_failure(job, endpoint, opened.failure())
        passage: Passage = opened.unwrap()
        head = passage.head
        verdict = self.border.judge_answer(job.arrival, head.status, head.lines)
        if verdict in {Verdict.ANSWERED, Verdict.NOT_RUN}:
            await self.observe_signs(endpoint, head)
        if verdict is Verdict.ANSWERED:
            failed = head.status >= FAILING
            self.fleet.tally.observe(endpoint, failed=failed)
            return passage
        await passage.close()
        if verdict is Verdict.FOREIGN:
            self.fleet.tally.observe(endpoint, failed=True)
            return Lost('the answer belongs to another request')
        if verdict is Verdict.MISDIRECTED:
            self.fleet.tally.observe_unreachable(endpoint)
        return NotRun(f'{verdict.value}, status {head.status}')

    async def observe_signs(self, endpoint: Endpoint, head: Head) -> None:
        """Act on what an endpoint's answer says of the endpoint."""
        signs = self.border.endpoint_signs(head.status, head.lines)
        if signs.rest_seconds is not None:
            endpoint.rest(self.clock() + signs.rest_seconds)
            log_event(
                Event.ENDPOINT_RESTS,
                endpoint=endpoint.identity,
                seconds=signs.rest_seconds,
            )
        if signs.leaving:
            await self.fleet.hub.findings.report_leaving(endpoint)

    async def judge_failure(
        self, job: Job, endpoint: Endpoint, error: HttpError
    ) -> NotRun | Lost:
        """Return what a failed exchange means."""
        if isinstance(error, AnswerLost) and error.broken:
            await self.crashes.note_break(job, endpoint)
        if isinstance(error, NotSent):
            self.fleet.tally.observe_unreachable(endpoint)
            return NotRun(error.detail)
        self.fleet.tally.observe(endpoint, failed=True)
        return Lost(error.detail)


def kind_of(judged: Passage | NotRun | Lost) -> str:
    """Return the kind of outcome that is counted."""
    if isinstance(judged, Passage):
        return 'answered'
    return 'not run' if isinstance(judged, NotRun) else 'lost'


def outcome_of(judged: Passage | NotRun | Lost) -> str:
    """Return a short text for the log."""
    if isinstance(judged, Passage):
        return f'status {judged.head.status}'
    if isinstance(judged, NotRun):
        return f'not run: {judged.detail}'
    return f'lost: {judged.detail}'
