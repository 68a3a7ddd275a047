"""Events of the stream that callers receive.

The parser shares no code with the node, so that it can check the node.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import orjson


@dataclass(frozen=True, slots=True)
class StartEvent:
    """First event of a stream or of a resumed one."""

    request: str
    resume_token: str


@dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class EventStreamEnd:
    """The generation is complete."""

    tokens: int
    reason: str


@dataclass(frozen=True, slots=True)
class ErrorEvent:
    """The generation will not be completed."""

    outcome: str
    kind: str


CallerEvent = StartEvent | TokenEvent | EventStreamEnd | ErrorEvent


@dataclass(slots=True)
class EventParser:
    """Parses the bytes of a stream into events."""

    buffer: bytes = b''

    def feed(self, chunk: bytes) -> Iterator[CallerEvent]:
        """Yield the events that the chunk completes; comments are dropped."""
        blocks = (self.buffer + chunk).split(b'\n\n')
        self.buffer = blocks.pop()
        for block in blocks:
            if block and not block.startswith(b':'):
                yield parse_block(block)


def parse_block(block: bytes) -> CallerEvent:
    """Return one event; raises KeyError or ValueError for a malformed one."""
    fields = dict(line.split(b': ', 1) for line in block.split(b'\n'))
    content = orjson.loads(fields[b'data'])
    match fields.get(b'event', b'token'):
        case b'start':
            return StartEvent(content['request'], content['resume'])
        case b'done':
            return EventStreamEnd(content['tokens'], content['reason'])
        case b'error':
            return ErrorEvent(content['outcome'], content['kind'])
        case _:
            return TokenEvent(content['offset'], content['text'])
