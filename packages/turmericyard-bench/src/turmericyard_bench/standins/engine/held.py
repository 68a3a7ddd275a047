"""Generations that the stand-in retains, and their event streams."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import curio
import orjson

HEARTBEAT = b': heartbeat\n\n'
#: Number of housekeeping ticks without an event before a heartbeat.
HEARTBEAT_TICKS = 4
TICK_SECONDS = 0.25
COMPLETED_REASONS = frozenset(('stop', 'length'))


@dataclass(slots=True, eq=False)
class Reader:
    """A connection that streams a generation from token `offset` on."""

    offset: int
    is_done: bool = False
    wake: curio.Event = field(default_factory=curio.Event)
    ticks_without_event: int = 0
    heartbeat_due: bool = False


@dataclass(slots=True, eq=False)
class HeldGeneration:
    """One generation with its readers and its ledger entry.

    Times are in seconds of the boot clock; `start` is that of the first token.
    """

    generation: str
    request: str
    model: str
    prompt: str
    stem: str
    restart: str
    accepted: float
    abandoned_at: float
    start: float | None = None
    end: float | None = None
    produced: int = 0
    reason: str = ''
    resumes: int = 0
    readers: set[Reader] = field(default_factory=set)

    def token_events(self, offset: int) -> bytes:
        """Return the events of the tokens produced from `offset` on."""
        return ''.join(
            f'data: {{"offset":{index},"text":"{self.stem}{index} "}}\n\n'
            for index in range(offset, self.produced)
        ).encode()

    def end_event(self) -> bytes:
        """Return the event that ends the stream."""
        if self.reason in COMPLETED_REASONS:
            return encode_event(
                b'event: done\n',
                {'tokens': self.produced, 'reason': self.reason},
            )
        return encode_event(b'event: error\n', {'error': self.reason})

    def ledger_entry(self) -> dict[str, object]:
        """Return the ledger entry as JSON values."""
        return {
            'generation': self.generation,
            'request': self.request,
            'model': self.model,
            'prompt': self.prompt,
            'restart': self.restart,
            'accepted': self.accepted,
            'start': self.start,
            'end': self.end,
            'produced': self.produced,
            'reason': self.reason,
            'resumes': self.resumes,
        }


async def stream_events(
    held: HeldGeneration, offset: int, now: Callable[[], float]
) -> AsyncIterator[bytes]:
    """Yield the events from `offset` until the generation ends."""
    reader = Reader(offset)
    held.readers.add(reader)
    try:
        yield encode_event(
            b'', {'generation': held.generation, 'restart': held.restart}
        )
        while not reader.is_done:
            yield await next_events(held, reader)
    finally:
        held.readers.discard(reader)
        held.abandoned_at = now()


async def next_events(held: HeldGeneration, reader: Reader) -> bytes:
    """Return the next events for a reader, waiting until there are any."""
    while True:
        if reader.offset < held.produced:
            events = held.token_events(reader.offset)
            reader.offset = held.produced
            reader.ticks_without_event = 0
            return events
        if held.end is not None:
            reader.is_done = True
            return held.end_event()
        if reader.heartbeat_due:
            reader.heartbeat_due = False
            return HEARTBEAT
        reader.wake.clear()
        await reader.wake.wait()


def encode_event(name: bytes, fields: dict[str, object]) -> bytes:
    """Return one server-sent event; `name` is its event line or empty."""
    return b'%bdata: %b\n\n' % (name, orjson.dumps(fields))


async def tick_readers(held: HeldGeneration) -> None:
    """Count a tick without events for each reader; send due heartbeats."""
    for reader in tuple(held.readers):
        reader.ticks_without_event += 1
        if reader.ticks_without_event >= HEARTBEAT_TICKS:
            reader.ticks_without_event = 0
            reader.heartbeat_due = True
            await reader.wake.set()


async def wake_readers(held: HeldGeneration) -> None:
    """Wake all readers to send new events."""
    for reader in tuple(held.readers):
        await reader.wake.set()
