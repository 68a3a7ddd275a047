"""A runner of the platform: streams, plain answers, copies, and its faults."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import (
    Headers,
    OpaqueResponse,
    Request,
    json_response,
)

#: The connection is reset, or nothing more is sent on it.
RESET = 'reset'
SILENCE = 'silence'
LOSSES = (RESET, SILENCE)
SIGNATURE = (b'x-turmericyard-response-seal', b'seal')
COPY_SECONDS = 0.05


@dataclass
class Made:
    """A run, or a copy of one; copies are found by handle."""

    attempt: str
    made: int
    length: int
    #: The stream has ended and the run goes on.
    is_detached: bool = False


@dataclass
class FleetRunner:
    """`fault` changes the next answers; `arrivals` is the ledger.

    `peers` are all runners by address: copies go between them.
    """

    identity: str
    address: str = ''
    head_seconds: float = 0
    event_seconds: float = 0.02
    #: Additional time before the first event of a run.
    first_event_seconds: float = 0
    #: Its runs go on when their connection is closed.
    keeps_runs: bool = False
    length: int = 20
    fault: str = ''
    faults_left: int = 1_000_000
    #: The fault of requests of the route of writes.
    write_fault: str = ''
    peers: dict[str, 'FleetRunner'] = field(default_factory=dict)
    arrivals: list[dict[str, str]] = field(default_factory=list)
    #: When each of the arrivals came, in seconds since the boot.
    arrived_at: list[float] = field(default_factory=list)
    #: Lengths of the bodies of the arrivals.
    bodies: list[int] = field(default_factory=list)
    #: Requests without the id of an attempt.
    strangers: list[str] = field(default_factory=list)
    #: Attempts of streams that began here and not from a copy.
    begun: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    runs: dict[str, Made] = field(default_factory=dict)
    copies: dict[str, Made] = field(default_factory=dict)
    #: Where the copies of runs went that this runner had.
    moved_to: dict[str, str] = field(default_factory=dict)
    ended: bool = False
    no_room: bool = False
    #: How the answer of its next run is lost, which goes on. One of `LOSSES`.
    loses_answers: str = ''
    #: When it made the last event of each run, in seconds since the boot.
    worked_at: dict[str, float] = field(default_factory=dict)
    #: How many of the next requests to move a run get no answer.
    moves_lost: int = 0
    #: How many of the next requests to move a run come during another move.
    moves_refused: int = 0
    #: How long a copy takes, in seconds.
    copy_seconds: float = COPY_SECONDS
    #: Attempts whose runs are being copied.
    copying: set[str] = field(default_factory=set)
    #: Requests to move a run: whether each is the last one.
    moves: list[bool] = field(default_factory=list)
    #: Whether it answers requests to move a run.
    answers_moves: bool = True
    #: Reports that it gave.
    reports: int = 0
    #: All its answers say that it leaves.
    leaving: bool = False
    #: The requests a second that it says it takes, in all its answers.
    limit: float | None = None
    #: The requests that it may turn away in a second, in all its answers; one
    #: more crashes it. It runs `slots` requests at a time and lets none wait.
    brittle: int | None = None
    #: What it says instead.
    brittle_text: bytes | None = None
    slots: int = 8
    running: int = 0
    #: When it turned requests away for want of room, in seconds since the boot.
    turned_away_at: list[float] = field(default_factory=list)
    #: What it asks for where it turns requests away, in seconds.
    back_off_seconds: float | None = None
    #: Requests with one of these bodies crash it.
    crashing: set[bytes] = field(default_factory=set)
    #: Requests whose prompt has one of these parts crash it.
    crashing_parts: set[str] = field(default_factory=set)
    #: Events of such a stream after which it crashes; 0 is before the head. One
    #: that goes on here crashes it after its next event.
    crash_after_events: int = 0
    #: The crash comes inside the body of a failure answer.
    crash_in_failure: bool = False
    crashes: list[str] = field(default_factory=list)
    #: When each of the crashes was, in seconds since the boot.
    crashed_at: list[float] = field(default_factory=list)
    #: Ends the runner and starts it anew.
    crash: Callable[[str], Awaitable[None]] | None = None

    async def answer(self, request: Request) -> Any:
        answer = await self.answer_kind(request)
        if self.leaving and isinstance(answer, OpaqueResponse):
            answer.lines = (*answer.lines, (b'server-leaving', b'1'))
        if self.limit is not None and isinstance(answer, OpaqueResponse):
            named = (b'server-limit', b'%g' % self.limit)
            answer.lines = (*answer.lines, named)
        text = self.brittle_text
        if self.brittle is not None:
            text = b'%d' % self.brittle
        if text is not None and isinstance(answer, OpaqueResponse):
            answer.lines = (*answer.lines, (b'server-brittle', text))
        return answer

    async def answer_kind(self, request: Request) -> Any:
        if request.path == '/-/kv-move':
            return await self.move(json.loads(request.body))
        if request.path.startswith('/-/kv-handle/'):
            return self.drop(request.path.rpartition('/')[2])
        if request.path == '/-/report':
            self.reports += 1
            state = 'draining' if self.leaving else 'ready'
            return json_response(200, {'state': state})
        headers = dict(request.headers)
        attempt = headers.get('x-turmericyard-attempt-id')
        if attempt is None:
            self.strangers.append(f'{request.method} {request.path} {headers}')
            return OpaqueResponse(400, ())
        self.arrivals.append(headers)
        self.arrived_at.append(boot_seconds())
        self.bodies.append(len(request.body))
        echo = (b'x-turmericyard-attempt-id', attempt.encode())
        fault = self.take_fault()
        if request.path.startswith('/write'):
            fault = fault or self.write_fault
        if headers.get('x-turmericyard-expect-instance') != self.identity:
            return OpaqueResponse(421, (echo,))
        if self.crash is not None and self.is_crashing(request):
            await curio.sleep(self.head_seconds)
            if self.crash_after_events:
                return self.stream(headers, attempt, echo, 'crash')
            if self.crash_in_failure:
                chunks = self.fail_and_crash(attempt)
                return OpaqueResponse(500, (echo, SIGNATURE), chunks=chunks)
            await self.crash_on(attempt)
        if self.brittle is not None and self.is_full():
            await self.turn_away(attempt)
            return OpaqueResponse(503, (echo, *self.not_run()))
        if fault == 'full':
            return OpaqueResponse(503, (echo, *self.not_run()))
        if fault == 'reset' and request.path.startswith('/stream'):
            self.ran.append(attempt)
            raise ConnectionAbortedError
        if request.path.startswith('/stream'):
            return await self.begin_stream(headers, attempt, echo, fault)
        self.running += 1
        try:
            return await self.call(request, attempt, echo, fault)
        finally:
            self.running -= 1

    def is_full(self) -> bool:
        return self.running + len(self.runs) >= self.slots

    async def turn_away(self, attempt: str) -> None:
        """Count a request that has no room, and crash after too many."""
        now = boot_seconds()
        self.turned_away_at.append(now)
        recent = sum(at > now - 1 for at in self.turned_away_at)
        if self.crash is not None and recent > (self.brittle or 0):
            self.turned_away_at.clear()
            self.crashes.append(attempt)
            self.crashed_at.append(now)
            await self.crash(self.identity)

    async def crash_on(self, attempt: str) -> None:
        self.crashes.append(attempt)
        self.crashed_at.append(boot_seconds())
        if self.crash is not None:
            await self.crash(self.identity)
        await curio.sleep(1000)

    async def fail_and_crash(self, attempt: str) -> AsyncIterator[bytes]:
        yield b'a part'
        await self.crash_on(attempt)

    def is_crashing(self, request: Request) -> bool:
        """Return whether a request crashes this runner."""
        prefix = request.headers.get('x-turmericyard-prompt-prefix', '')
        parts = {part.partition(':')[0] for part in prefix.split(',')}
        return request.body in self.crashing or not parts.isdisjoint(
            self.crashing_parts
        )

    def not_run(self) -> Headers:
        """Return the lines of a request that is turned away."""
        lines = [(b'x-turmericyard-not-executed', b'1')]
        if self.back_off_seconds is not None:
            lines.append((b'retry-after', b'%g' % self.back_off_seconds))
        return tuple(lines)

    def take_fault(self) -> str:
        if not self.fault or self.faults_left <= 0:
            return ''
        self.faults_left -= 1
        return self.fault

    async def call(
        self, request: Request, attempt: str, echo: Any, fault: str
    ) -> OpaqueResponse:
        self.ran.append(attempt)
        try:
            if fault == 'hang':
                await curio.sleep(1000)
            await curio.sleep(self.event_seconds)
        except curio.CancelledError:
            self.cancelled.append(attempt)
            raise
        if fault == 'error':
            return OpaqueResponse(500, (echo, SIGNATURE), b'failed')
        if fault == 'unsigned':
            status = 503 if len(self.ran) % 2 else 200
            return OpaqueResponse(status, (echo,), b'forged')
        if fault == 'foreign':
            other = (b'x-turmericyard-attempt-id', b'another')
            return OpaqueResponse(200, (other, SIGNATURE), b'not yours')
        if fault == 'reset':
            return OpaqueResponse(200, (echo, SIGNATURE), chunks=cut())
        body = b'%s %s' % (request.target, request.body)
        return OpaqueResponse(200, (echo, SIGNATURE), body)

    def stream(
        self, headers: dict[str, str], attempt: str, echo: Any, fault: str
    ) -> OpaqueResponse:
        begin = 0
        source = headers.get('kv-from')
        if source is not None:
            address, _, handle = source.partition('/')
            held = self.copies.get(handle) or self.kept_at(address, handle)
            if held is None or held.attempt != attempt:
                not_run = (b'x-turmericyard-not-executed', b'1')
                return OpaqueResponse(503, (echo, not_run))
            begin = int(headers['last-event-id'])
        else:
            begin = int(headers.get('last-event-id', 0))
            self.begun.append(attempt)
        run = Made(attempt, begin, self.length)
        self.runs[attempt] = run
        self.ran.append(attempt)
        backup = headers.get('x-turmericyard-kv-backup')
        if backup is not None:
            self.peers[backup].copies[attempt] = run
        kind = (b'content-type', b'text/event-stream')
        if fault == 'unsigned':
            events = b'id: %d\ndata: forged\n\n' % (begin + 1)
            return OpaqueResponse(200, (echo, kind), events)
        return OpaqueResponse(
            200, (echo, SIGNATURE, kind), chunks=self.events(run, fault)
        )

    async def begin_stream(
        self, headers: dict[str, str], attempt: str, echo: Any, fault: str
    ) -> OpaqueResponse:
        """Answer with a stream; with the fault `headless`, only its run begins."""
        if not self.keeps_runs:
            await curio.sleep(self.head_seconds)
        answer = self.stream(headers, attempt, echo, fault)
        if fault == 'headless':
            await self.detach(self.runs[attempt])
            raise ConnectionAbortedError
        if self.keeps_runs:
            await self.wait_before_head(attempt)
        return answer

    async def wait_before_head(self, attempt: str) -> None:
        """Work on a run whose head is late, also when its connection closes."""
        try:
            await curio.sleep(self.head_seconds)
        except curio.CancelledError:
            await self.detach(self.runs[attempt])
            raise

    def kept_at(self, address: str, handle: str) -> Made | None:
        return self.peers[address].copies.get(handle)

    async def events(self, run: Made, fault: str) -> AsyncIterator[bytes]:
        try:
            await self.wait_before(run)
            crashes_at = run.made + 1 if run.made else self.crash_after_events
            while run.made < run.length:
                await curio.sleep(self.event_seconds)
                if fault == 'crash' and run.made == crashes_at:
                    await self.crash_on(run.attempt)
                if fault == 'break' and run.made == 5:
                    raise ConnectionAbortedError
                if self.ended:
                    yield b'id: %d\nda' % (run.made + 1)
                    raise ConnectionAbortedError
                if self.runs.get(run.attempt) is not run:
                    raise ConnectionAbortedError
                if self.loses_answers:
                    await self.lose_answer(run)
                run.made += 1
                self.worked_at[run.attempt] = boot_seconds()
                yield b'id: %d\ndata: %s-%d\n\n' % (
                    run.made,
                    run.attempt.encode(),
                    run.made,
                )
        except curio.CancelledError:
            self.cancelled.append(run.attempt)
            if self.keeps_runs:
                await self.detach(run)
            raise
        finally:
            if self.runs.get(run.attempt) is run and not run.is_detached:
                self.runs.pop(run.attempt)

    async def wait_before(self, run: Made) -> None:
        """Wait before the first event of a run."""
        if not run.made:
            await curio.sleep(self.first_event_seconds)

    async def lose_answer(self, run: Made) -> None:
        """Lose the rest of a stream; its run goes on."""
        loss, self.loses_answers = self.loses_answers, ''
        await self.detach(run)
        if loss == SILENCE:
            await curio.sleep(1000)
        raise ConnectionAbortedError

    async def detach(self, run: Made) -> None:
        """Go on with a run without its stream."""
        run.is_detached = True
        await curio.spawn(self.work_on, run, daemon=True)

    async def work_on(self, run: Made) -> None:
        """Make the remaining events of a run, unless it is stopped."""
        await self.wait_before(run)
        while run.made < run.length:
            await curio.sleep(self.event_seconds)
            if self.ended or self.runs.get(run.attempt) is not run:
                return
            run.made += 1
            self.worked_at[run.attempt] = boot_seconds()
        self.runs.pop(run.attempt)

    def drop(self, handle: str) -> Any:
        """Free a copy, at both ends where this is its source."""
        target = self.moved_to.pop(handle, self.address)
        held = self.peers[target].copies.pop(handle, None)
        return json_response(200 if held else 404, {})

    async def move(self, body: dict[str, Any]) -> Any:
        self.moves.append(body['last'])
        if not self.answers_moves:
            await curio.sleep(1000)
        if self.moves_lost:
            self.moves_lost -= 1
            raise ConnectionAbortedError
        run = self.runs.get(body['id'])
        if run is None:
            return json_response(404, {})
        if self.moves_refused or run.attempt in self.copying:
            self.moves_refused = max(0, self.moves_refused - 1)
            return json_response(409, {})
        handle = f'h-{body["id"]}'
        if body['last']:
            self.runs.pop(body['id'])
        target = self.peers[body['to']]
        if target.no_room or target.ended:
            if not body['last']:
                return json_response(503, {})
            self.copies[handle] = Made(run.attempt, run.made, run.length)
            return json_response(503, {'handle': handle})
        self.copying.add(run.attempt)
        try:
            await curio.sleep(self.copy_seconds)
        finally:
            self.copying.discard(run.attempt)
        self.moved_to[handle] = body['to']
        target.copies[handle] = Made(run.attempt, run.made, run.length)
        return json_response(
            200, {'handle': handle, 'createRevision': run.made}
        )


async def cut() -> AsyncIterator[bytes]:
    """Send a part of the body and break off."""
    yield b'a part'
    raise ConnectionAbortedError
