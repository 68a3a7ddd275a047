"""Relays one generation's events to one caller.

Each token is forwarded once and in order. A repeated token is dropped. After a
gap, a broken connection or a silent one, the same generation is resumed at the
next offset over a new connection.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
import orjson
from returns.result import Success

from turmericyard_clients.engine import GenerationStream
from turmericyard_clients.engine_errors import (
    GenerationUnknown,
    OutcomeUnknown,
)
from turmericyard_clients.engine_events import (
    Done,
    EngineFailure,
    StreamBroken,
    StreamEvent,
    Token,
)
from turmericyard_decisions.fair_queue import QueueEntry
from turmericyard_node.callers.answers import Outcome, Problem
from turmericyard_node.callers.settlement import settle_relay
from turmericyard_node.endpoint_deaths import record_lost_generation
from turmericyard_node.events import Event, log_event
from turmericyard_node.resume_token import ResumePoint, encode_token

if TYPE_CHECKING:
    from turmericyard_node.application import Application

MAX_RESUMES_WITHOUT_TOKEN = 4
RESUME_DELAY_SECONDS = 0.1
HEARTBEAT = b': heartbeat\n\n'
BAD_GATEWAY = 502

Ending = Done | Problem


@dataclass(slots=True, eq=False)
class Relay:
    """The state of one caller's stream.

    `next_offset` is the offset of the next token to forward. `ending` is set
    once the outcome is known. `initial_events` were read before the relay
    began, `restart` is the engine's restart id, and `marks` identify the
    request in the quarantine. `resumes` counts the broken connections since the
    last new token; `broken` says that the connection must be replaced.
    `idle_ticks` counts the ticks of `watch_streams` since the last event.
    """

    application: 'Application'
    point: ResumePoint
    started_at: float
    next_offset: int = 0
    stream: GenerationStream | None = None
    ending: Ending | None = None
    resumes: int = 0
    first_token_seconds: float = 0
    last_token_at: float = 0
    last_event_at: float = 0
    broken: bool = False
    initial_events: tuple[StreamEvent, ...] = ()
    restart: str = ''
    marks: frozenset[str] = frozenset()
    queue_entry: QueueEntry | None = None
    prompt_tokens: int = 0
    settled: bool = False
    idle_ticks: int = 0

    def start_event(self) -> bytes:
        """Return the first event, which carries the resume token."""
        token = encode_token(self.application.identity.secret, self.point)
        payload = {
            'request': self.point.request,
            'resume': token,
            'offset': self.next_offset,
        }
        return server_event('start', payload)

    async def next_chunk(self) -> bytes:
        """Return the raw events of new tokens, a heartbeat or no bytes."""
        chunk = self.accept(await self.read())
        if chunk or self.ending is not None or not self.heartbeat_due():
            return chunk
        return HEARTBEAT

    def heartbeat_due(self) -> bool:
        """Return whether a heartbeat is due; if so, restart its interval."""
        now = self.application.clock()
        wait = self.application.settings.timing.caller_heartbeat_seconds
        if now - self.last_event_at < wait:
            return False
        self.last_event_at = now
        return True

    async def read(self) -> list[StreamEvent]:
        """Return the next events; `watch_streams` aborts a silent stream."""
        if self.broken or self.stream is None:
            await self.resume()
            return []
        arrived = await self.stream.read_events()
        self.idle_ticks = 0
        return arrived

    def accept_initial(self) -> bytes:
        """Return the raw bytes of the events read before the relay began."""
        initial = list(self.initial_events)
        self.initial_events = ()
        return self.accept(initial)

    def accept(self, events: list[StreamEvent]) -> bytes:
        """Process events; return the raw bytes of the new tokens, in order."""
        raw: list[bytes] = []
        for event in events:
            if isinstance(event, Token):
                self.accept_token(event, raw)
            else:
                self.accept_other(event)
            if self.broken or self.ending is not None:
                break
        if raw:
            self.observe_tokens(len(raw))
        if isinstance(self.ending, Done):
            self.check_complete()
        return b''.join(raw)

    def accept_token(self, token: Token, raw: list[bytes]) -> None:
        """Append the next token to `raw`; drop a repeated one; detect a gap."""
        if token.offset == self.next_offset:
            raw.append(token.raw)
            self.next_offset += 1
        elif token.offset > self.next_offset:
            self.mark_broken(f'gap at offset {self.next_offset}')

    def accept_other(self, event: StreamEvent) -> None:
        """Process an event that is not a token."""
        if isinstance(event, Done):
            self.ending = event
        elif isinstance(event, EngineFailure):
            self.fail('engine-failed', event.kind)
        elif isinstance(event, StreamBroken):
            self.mark_broken(event.detail)

    def check_complete(self) -> None:
        """Mark the stream broken if it ended before all tokens arrived."""
        if isinstance(self.ending, Done):
            missing = self.ending.tokens - self.next_offset
            if missing > 0:
                self.ending = None
                self.mark_broken(f'{missing} tokens missing at the end')

    def mark_broken(self, detail: str) -> None:
        """Record that the connection must be replaced."""
        log_event(
            Event.STREAM_REPLACED,
            request=self.point.request,
            offset=self.next_offset,
            message=detail,
        )
        self.application.traces.add(
            self.point.request,
            'stream-replaced',
            offset=self.next_offset,
            detail=detail,
        )
        self.resumes += 1
        if self.resumes > MAX_RESUMES_WITHOUT_TOKEN:
            self.fail('generation-lost', detail)
        self.broken = True

    async def resume(self) -> None:
        """Replace the connection by a new one that starts at the next offset."""
        await self.close_stream()
        engine = self.application.clients.engine(self.point.address)
        silence = self.application.settings.timing.stream_silence_seconds
        opened = await engine.resume_generation(
            self.point.generation, self.next_offset, silence
        )
        if isinstance(opened, Success):
            self.stream = opened.unwrap()
            self.broken = False
            return
        error = opened.failure()
        if not isinstance(error, OutcomeUnknown):
            await record_lost_generation(
                self.application, self.point.endpoint, self.restart, self.marks
            )
        if isinstance(error, GenerationUnknown):
            self.fail('generation-lost', error.message)
            return
        self.mark_broken(error.message)
        await curio.sleep(RESUME_DELAY_SECONDS * self.resumes)

    def observe_tokens(self, count: int) -> None:
        """Record the timing of new tokens in the metrics."""
        now = self.application.clock()
        metrics = self.application.metrics
        gap = now - self.last_token_at if self.last_token_at else None
        paces = self.application.permits.paces
        paces.meter(self.point.endpoint).observe_chunk(count, gap)
        if self.last_token_at:
            metrics.token_interval.record(
                self.point.product, now - self.last_token_at, count
            )
        elif self.next_offset == count:
            self.first_token_seconds = now - self.started_at
            metrics.first_token.record(
                self.first_token_seconds, {'product': self.point.product}
            )
        self.last_token_at = now
        self.last_event_at = now
        self.resumes = 0
        self.application.tokens_relayed += count

    def fail(self, kind: str, detail: str) -> None:
        """End the stream with a typed problem."""
        log_event(
            Event.STREAM_FAILED, request=self.point.request, message=detail
        )
        self.ending = Problem(
            Outcome.FAILED,
            kind,
            f'{detail}: the generation cannot be completed; send a new request',
            BAD_GATEWAY,
        )

    def end_event(self) -> bytes:
        """Return the last event."""
        if isinstance(self.ending, Done):
            payload = {
                'tokens': self.ending.tokens,
                'reason': self.ending.reason,
            }
            return server_event('done', payload)
        problem = self.ending or Problem(
            Outcome.FAILED,
            'interrupted',
            'the stream was interrupted: resume it with the token',
        )
        return server_event('error', problem.payload(self.point.request))

    async def close(self) -> None:
        """Settle the generation if it has ended, else mark it as abandoned."""
        self.application.streams.discard(self)
        await self.close_stream()
        if self.ending is None:
            await self.application.abandoned_generations.add(self.point)
        else:
            await settle_relay(self)

    async def close_stream(self) -> None:
        """Close the connection to the engine."""
        if self.stream is not None:
            await self.stream.close()
            self.stream = None


def server_event(name: str, payload: dict[str, Any]) -> bytes:
    """Return the bytes of one server-sent event."""
    return b'event: %s\ndata: %s\n\n' % (name.encode(), orjson.dumps(payload))


def create_relay(
    application: 'Application',
    started_at: float,
    point: ResumePoint,
    stream: GenerationStream | None,
    offset: int = 0,
) -> Relay:
    """Return a relay that forwards a generation from an offset."""
    now = application.clock()
    return Relay(
        application,
        point,
        started_at,
        offset,
        stream,
        last_event_at=now,
    )
