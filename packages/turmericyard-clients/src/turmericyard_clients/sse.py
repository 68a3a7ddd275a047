"""Incremental parser of an engine's server-sent events."""

from typing import Any

import orjson

from turmericyard_clients.engine_events import (
    Done,
    EngineFailure,
    GenerationStarted,
    Heartbeat,
    StreamBroken,
    StreamEvent,
    Token,
)

#: Longest event accepted, in bytes.
MAX_EVENT_BYTES = 65_536
END_OF_EVENT = b'\n\n'
DATA_PREFIX = b'data: '


class EventParser:
    """Splits the pieces of a body into events; pieces may end anywhere."""

    def __init__(self) -> None:
        self.buffered = b''

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that a piece completes."""
        if self.buffered:
            piece = self.buffered + piece
        blocks = piece.split(END_OF_EVENT)
        self.buffered = blocks.pop()
        if len(self.buffered) > MAX_EVENT_BYTES:
            self.buffered = b''
            return [StreamBroken('event too long')]
        return [parse_block(block) for block in blocks]


def parse_block(block: bytes) -> StreamEvent:
    """Return the event of one block of lines."""
    try:
        if block.startswith(DATA_PREFIX):
            return parse_data(block)
        if block.startswith(b':'):
            return Heartbeat()
        return parse_named(block)
    except (ValueError, KeyError, TypeError):
        return StreamBroken('malformed event')


def parse_data(block: bytes) -> StreamEvent:
    """Return a token or the start event.

    Raises KeyError, TypeError or ValueError when malformed.
    """
    fields = orjson.loads(block[len(DATA_PREFIX) :])
    offset = fields.get('offset') if isinstance(fields, dict) else None
    if isinstance(offset, int):
        return Token(offset, fields['text'], block + END_OF_EVENT)
    return GenerationStarted(
        text_field(fields, 'generation'), text_field(fields, 'restart')
    )


def parse_named(block: bytes) -> StreamEvent:
    """Return the end or the failure of a generation.

    Raises KeyError, TypeError or ValueError when malformed.
    """
    head, _, body = block.partition(b'\n')
    fields = orjson.loads(body.removeprefix(DATA_PREFIX))
    if head == b'event: done':
        return Done(int(fields['tokens']), text_field(fields, 'reason'))
    if head == b'event: error':
        return EngineFailure(text_field(fields, 'error'))
    raise ValueError(head)


def text_field(fields: Any, name: str) -> str:
    """Return a text field; raises KeyError, TypeError or ValueError."""
    text = fields[name]
    if not isinstance(text, str):
        raise ValueError(name)
    return text
