"""Streams of generations: placed once, then relayed wherever they run."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import curio

from turmericyard_decisions.event_splice import EventMissing, EventTooLong
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import OpaqueResponse
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.continuer import Continuer
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_node.forwarding.runs import Run, RunBook
from turmericyard_node.forwarding.sending import Lost, NotRun, Sender
from turmericyard_node.forwarding.waiting import NoRoom, WaitingRoom
from turmericyard_ports.border import Border

UNAVAILABLE = 503
BAD_GATEWAY = 502
RETURN_SECONDS = 0.5
#: Sends that endpoints may turn away before the client is asked back.
MAX_TURNED_AWAY = 3
#: Time without a whole event after which a stream goes on elsewhere, where it
#: can, in seconds.
SILENCE_SECONDS = 5.0
#: The same where it cannot, in latency targets: clients give a stream up after
#: a gap of so many.
SILENT_TARGETS = 4
#: What breaks off with the endpoint's connection.
CUTS = (OSError, EOFError)
BREAKS = (*CUTS, EventMissing, EventTooLong, curio.TaskTimeout)


class StreamEnded(Exception):
    """The stream ended whole."""


@dataclass(slots=True)
class StreamForwarder:
    """Forwards generations and keeps their streams whole."""

    border: Border
    sender: Sender
    room: WaitingRoom
    continuer: Continuer
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
        backup = await self.continuer.choose_backup(job, place)
        prompt = job.prompt_tokens()
        use = self.loads.begin(
            Use(place.identity, prompt, job.memory_tokens(), prompt)
        )
        backup_use = self.continuer.lend(job, backup)
        await self.loads.news.set()
        kept = False
        try:
            sent = await self.sender.send(
                job, place, job.seconds_left(self.clock()), backup=backup
            )
            if isinstance(sent, Passage) and sent.succeeded:
                run = Run(job, place, sent, use, backup, backup_use)
                run.progress_at = self.clock()
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
            await self.sender.crashes.note_end(run.job)
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
                await self.note_cut(run, error)
                if not await self.continuer.go_on(run, repr(error)):
                    raise ConnectionAbortedError(repr(error)) from error

    async def note_cut(self, run: Run, error: Exception) -> None:
        """Tell of a connection that broke before its endpoint had begun."""
        if isinstance(error, CUTS) and not run.began_here:
            await self.sender.crashes.note_break(run.job, run.place)

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
        await self.continuer.cleaner.discard(run, run.copy)
        await run.passage.close()

    async def read(self, run: Run) -> bytes:
        """Return the next whole events; raises StreamEnded at the end.

        Raises one of BREAKS when the stream was cut.
        """
        async with curio.timeout_after(self.patience(run)):
            piece = await run.passage.read()
        if piece:
            events = run.splice.feed(piece)
            if events:
                run.note_events(self.clock())
            return events
        raise StreamEnded

    def patience(self, run: Run) -> float:
        """Return for how long the stream's next bytes are awaited.

        Only whole events count as progress, so that a byte now and then does
        not keep a stalled stream.
        """
        silence = SILENCE_SECONDS
        if not run.can_go_on():
            target = run.job.route.latency_target_seconds
            silence = max(silence, SILENT_TARGETS * target)
        now = self.clock()
        return max(
            0, min(silence - (now - run.progress_at), run.job.seconds_left(now))
        )

    def refuse(self, detail: str, return_seconds: float) -> Answer:
        """Return the answer to a request that has not run."""
        return self.border.refusal(UNAVAILABLE, detail, return_seconds)
