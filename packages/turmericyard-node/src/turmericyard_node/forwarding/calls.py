"""Requests with one whole answer, idempotent or not."""

from dataclasses import dataclass

import curio

from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import OpaqueResponse
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_node.forwarding.sending import Lost, NotRun, Sender
from turmericyard_node.forwarding.waiting import NoRoom, WaitingRoom
from turmericyard_ports.border import Border
from turmericyard_ports.configuration import Kind

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
FAILING = 500
#: Share of the latency target after which an idempotent request is sent to
#: another endpoint.
HEDGE_SHARE = 0.7
#: Sends that endpoints may turn away before the client is asked back.
MAX_TURNED_AWAY = 3
#: When a client that found no endpoint at all is asked back, in seconds.
RETURN_SECONDS = 0.5
READ_ERRORS = (OSError, EOFError, curio.TaskTimeout)


@dataclass(slots=True)
class CallForwarder:
    """Forwards calls to plain services."""

    border: Border
    sender: Sender
    room: WaitingRoom
    loads: LoadBook
    clock: Clock

    async def forward(self, job: Job) -> Answer:
        """Return the answer to a call."""
        runs = 0
        turned_away = 0
        kept: Answer | None = None
        while self.goes_on(job, runs, turned_away):
            place = await self.room.enter(job)
            if isinstance(place, NoRoom):
                return kept or self.refuse(place.detail, place.return_seconds)
            outcome = await self.try_place(job, place, runs + 1)
            job.excluded.add(place.identity)
            if isinstance(outcome, NotRun):
                turned_away += 1
                continue
            runs += 1
            kept = self.settle(job, outcome)
            if kept.status < FAILING:
                return kept
        return kept or self.refuse('endpoints turned it away', RETURN_SECONDS)

    def settle(self, job: Job, outcome: Answer | Lost) -> Answer:
        """Return the answer for the outcome of a run."""
        if isinstance(outcome, Lost):
            return self.lost(job, outcome)
        return outcome

    def goes_on(self, job: Job, runs: int, turned_away: int) -> bool:
        """Return whether the request may be sent once more."""
        if not job.sends:
            return True
        repeatable = job.route.kind is Kind.IDEMPOTENT
        if runs and not (repeatable and runs < job.route.attempts):
            return False
        if self.sender.crashes.refuses(job):
            return False
        if turned_away > MAX_TURNED_AWAY or not self.sender.may_repeat(job):
            return False
        return job.seconds_left(self.clock()) > 0

    async def try_place(
        self, job: Job, place: Endpoint, number: int
    ) -> Answer | NotRun | Lost:
        """Send the request to an endpoint and return its whole answer."""
        use = self.loads.begin(Use(place.identity))
        try:
            return await self.exchange(job, place, number)
        finally:
            self.loads.end(use)

    async def exchange(
        self, job: Job, place: Endpoint, number: int
    ) -> Answer | NotRun | Lost:
        """Return the whole answer, or what is known of its loss."""
        seconds = self.time_limit(job, number)
        ends_at = self.clock() + seconds
        sent = await self.sender.send(job, place, seconds)
        if not isinstance(sent, Passage):
            return sent
        try:
            async with curio.timeout_after(max(0, ends_at - self.clock())):
                body = await sent.read_all()
        except READ_ERRORS as error:
            self.sender.fleet.tally.observe(place, failed=True)
            if not isinstance(error, curio.TaskTimeout):
                await self.sender.crashes.note_break(job, place)
            return Lost(repr(error))
        finally:
            await sent.close()
        await self.sender.crashes.note_end(job)
        return self.answer(sent, body)

    def answer(self, sent: Passage, body: bytes) -> Answer | Lost:
        """Return a whole answer; a success must bear the endpoint's mark."""
        head = sent.head
        if head.status < FAILING and not self.border.is_genuine(head.lines):
            return Lost('the answer is not signed')
        return OpaqueResponse(
            head.status, self.border.back_headers(head.lines), body
        )

    def time_limit(self, job: Job, number: int) -> float:
        """Return how long this send may take."""
        left = job.seconds_left(self.clock())
        if job.route.kind is not Kind.IDEMPOTENT:
            return left
        if number >= job.route.attempts or not self.sender.may_repeat(job):
            return left
        return min(left, job.route.latency_target_seconds * HEDGE_SHARE)

    def refuse(self, detail: str, return_seconds: float) -> Answer:
        """Return the answer to a request that has not run."""
        return self.border.refusal(UNAVAILABLE, detail, return_seconds)

    def lost(self, job: Job, outcome: Lost) -> Answer:
        """Return the answer to a request that may have run."""
        late = job.seconds_left(self.clock()) <= 0
        status = GATEWAY_TIMEOUT if late else BAD_GATEWAY
        return self.border.refusal(status, outcome.detail)
