"""Streams of generations: placed once, then relayed wherever they run."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import curio

from turmericyard_decisions.event_splice import EventMissing
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import OpaqueResponse
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_node.forwarding.placer import Placer
from turmericyard_node.forwarding.runs import Run, RunBook
from turmericyard_node.forwarding.sending import Lost, NotRun, Sender
from turmericyard_node.forwarding.waiting import NoRoom, WaitingRoom
from turmericyard_ports.border import Border
from turmericyard_ports.request import Continuation

UNAVAILABLE = 503
BAD_GATEWAY = 502
RETURN_SECONDS = 0.5
#: Sends that endpoints may turn away before the client is asked back.
MAX_TURNED_AWAY = 3
#: Output below which a run has no backup, in tokens.
BACKUP_TOKENS = 100
#: How long an endpoint has to go on with a copy, in seconds.
CONTINUE_SECONDS = 3.0
#: Silence of an endpoint after which its stream is taken as lost, in seconds.
SILENCE_SECONDS = 5.0
BREAKS = (OSError, EOFError, EventMissing, curio.TaskTimeout)


class StreamEnded(Exception):
    """The stream ended whole."""


@dataclass(slots=True)
class StreamForwarder:
    """Forwards generations and keeps their streams whole."""

    border: Border
    sender: Sender
    room: WaitingRoom
    placer: Placer
    loads: LoadBook
    book: RunBook
    clock: Clock
    instruments: Instruments

    async def forward(self, job: Job) -> Answer:
        """Return the stream of a generation, or why there is none."""
        turned_away = 0
        while True:
            place = await self.room.enter(job)
            if isinstance(place, NoRoom):
                return self.refuse(place.detail, place.return_seconds)
            outcome = await self.begin(job, place)
            if not isinstance(outcome, NotRun):
                return outcome
            turned_away += 1
            job.excluded.add(place.identity)
            if turned_away > MAX_TURNED_AWAY or not self.sender.may_repeat(job):
                return self.refuse(outcome.detail, RETURN_SECONDS)

    async def begin(self, job: Job, place: Endpoint) -> Answer | NotRun:
        """Send the request to an endpoint and open its stream."""
        prompt = job.prompt_tokens()
        use = self.loads.begin(
            Use(place.identity, prompt, job.memory_tokens(), prompt)
        )
        backup = self.choose_backup(job, place)
        backup_use = self.lend(job, backup)
        await self.loads.news.set()
        kept = False
        try:
            sent = await self.sender.send(
                job, place, self.seconds_left(job), backup=backup
            )
            if isinstance(sent, Passage) and sent.succeeded:
                run = Run(job, place, sent, use, backup, backup_use)
                self.book.begin(run)
                kept = True
                return self.open(run)
        finally:
            if not kept:
                self.loads.end(use)
                self.loads.end(backup_use)
        return await self.answer_without_stream(sent)

    async def answer_without_stream(
        self, sent: Passage | NotRun | Lost
    ) -> Answer | NotRun:
        """Return the answer of an endpoint that opened no stream."""
        if isinstance(sent, NotRun):
            return sent
        if isinstance(sent, Lost):
            return self.border.refusal(BAD_GATEWAY, sent.detail)
        head = sent.head
        try:
            body = await sent.read_all()
        except BREAKS as error:
            return self.border.refusal(BAD_GATEWAY, repr(error))
        finally:
            await sent.close()
        return OpaqueResponse(
            head.status, self.border.back_headers(head.lines), body
        )

    def open(self, run: Run) -> Answer:
        """Return the answer that relays a run."""
        head = run.passage.head
        return OpaqueResponse(
            head.status,
            self.border.back_headers(head.lines),
            chunks=self.relay(run),
        )

    async def relay(self, run: Run) -> AsyncIterator[bytes]:
        """Yield whole events until the stream ends.

        Raises ConnectionAbortedError when the run can't go on anywhere.
        """
        outcome = 'client gone'
        started_at = self.clock()
        try:
            while True:
                events = await self.next_events(run)
                if events is None:
                    break
                yield events
            yield run.splice.finish()
            outcome = 'whole'
        except ConnectionAbortedError as error:
            outcome = f'broken: {error}'
            raise
        finally:
            await self.end(run, outcome, started_at)

    async def next_events(self, run: Run) -> bytes | None:
        """Return the next whole events, wherever the run goes on.

        None is the end; raises ConnectionAbortedError when the run can't go
        on anywhere.
        """
        while True:
            try:
                return await self.read(run)
            except StreamEnded:
                return None
            except BREAKS as error:
                if not await self.go_on(run, repr(error)):
                    raise ConnectionAbortedError(repr(error)) from error

    async def end(self, run: Run, outcome: str, started_at: float) -> None:
        """Close a run's stream, count it and log how it ended."""
        self.book.end(run)
        self.instruments.streamed(
            run.job.service.name,
            outcome.partition(':')[0],
            run.first_seconds(),
            run.longest_gap,
        )
        log_event(
            Event.STREAM_ENDED,
            attempt=run.job.attempt,
            endpoint=run.place.identity,
            outcome=outcome,
            events=run.splice.delivered,
            moves=run.moves,
            first_seconds=run.first_seconds(),
            longest_gap=round(run.longest_gap, 3),
            gap_at=round(run.gap_at, 3),
            seconds=round(self.clock() - started_at, 3),
        )
        await run.passage.close()

    async def read(self, run: Run) -> bytes:
        """Return the next whole events; raises StreamEnded at the end.

        Raises one of BREAKS when the stream was cut.
        """
        left = min(SILENCE_SECONDS, self.seconds_left(run.job))
        async with curio.timeout_after(left):
            piece = await run.passage.read()
        if piece:
            events = run.splice.feed(piece)
            if events:
                run.note_events(self.clock())
            return events
        raise StreamEnded

    async def go_on(self, run: Run, detail: str) -> bool:
        """Continue a run elsewhere; return whether that worked."""
        await run.passage.close()
        if self.seconds_left(run.job) <= 0:
            return False
        for endpoint, copied in self.continuations(run):
            if not self.placer.knowledge.may_continue(endpoint):
                continue
            if await self.continue_at(run, endpoint, copied):
                log_event(
                    Event.STREAM_CONTINUED,
                    attempt=run.job.attempt,
                    endpoint=endpoint.identity,
                    copy=copied.source,
                    after=run.splice.last,
                    cause=detail,
                )
                return True
        log_event(Event.STREAM_FAILED, attempt=run.job.attempt, message=detail)
        return False

    def continuations(self, run: Run) -> list[tuple[Endpoint, Continuation]]:
        """Return where the run may go on, the best place first."""
        found = []
        last = run.splice.last or '0'
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
        """Open the rest of a run's stream at an endpoint."""
        backup = self.choose_backup(run.job, endpoint)
        seconds = min(CONTINUE_SECONDS, self.seconds_left(run.job))
        sent = await self.sender.send(
            run.job, endpoint, seconds, backup=backup, copied=copied
        )
        if not isinstance(sent, Passage):
            return False
        if not sent.succeeded:
            await sent.close()
            return False
        self.attach(run, endpoint, sent, backup)
        return True

    def attach(
        self,
        run: Run,
        endpoint: Endpoint,
        passage: Passage,
        backup: Endpoint | None,
    ) -> None:
        """Let a run go on at an endpoint."""
        self.loads.end(run.use)
        self.loads.end(run.backup_use)
        if run.copy is not None:
            self.loads.end(run.copy.use)
        run.use = self.loads.begin(Use(endpoint.identity, run.tokens()))
        run.backup_use = self.lend(run.job, backup)
        run.place = endpoint
        run.passage = passage
        run.backup = backup
        run.copy = None
        run.moves += 1
        run.splice.restart()
        run.refresh_use()

    def choose_backup(self, job: Job, place: Endpoint) -> Endpoint | None:
        """Return the endpoint that keeps a running copy, if any."""
        engine = job.service.engine
        if engine is None or not engine.can_back_up:
            return None
        if job.likely_output() < BACKUP_TOKENS:
            return None
        return self.placer.place_copy(job, job.memory_tokens(), place)

    def lend(self, job: Job, backup: Endpoint | None) -> Use | None:
        """Count the memory of a backup."""
        if backup is None:
            return None
        return self.loads.begin(
            Use(backup.identity, job.prompt_tokens(), lent=True)
        )

    def seconds_left(self, job: Job) -> float:
        """Return the time until the request is given up, never negative."""
        return max(0, job.seconds_left(self.clock()))

    def refuse(self, detail: str, return_seconds: float) -> Answer:
        """Return the answer to a request that has not run."""
        return self.border.refusal(UNAVAILABLE, detail, return_seconds)
