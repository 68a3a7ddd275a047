"""Reads the events of streams from the logs of nodes.

A line is a JSON object as a node writes it. A log collector may put text
before the object; the last word of that text is the name of the node. Lines
without such text belong to a node with the name of the file.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import get_args

import msgspec
from returns.result import Failure, Result, Success


class LogEvent(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='message_type'
):
    """One event; `timestamp` is in wall-clock seconds."""

    timestamp: float


class NodeStarted(LogEvent, frozen=True, tag='node:started'):
    """A node's process has started."""


class NodeStopped(LogEvent, frozen=True, tag='node:stopped'):
    """A node has shut down in an orderly way."""


class RequestPlaced(LogEvent, frozen=True, tag='request:placed'):
    """An endpoint was chosen; only generations have a prompt."""

    attempt: str
    prompt: int = 0


class RequestSent(LogEvent, frozen=True, tag='request:sent'):
    """A request was sent; `continues` names the copy that it resumes."""

    attempt: str
    outcome: str
    backup: str | None = None
    continues: str | None = None


class StreamContinued(LogEvent, frozen=True, tag='stream:continued'):
    """A stream resumed at another endpoint."""

    attempt: str


class RunCopied(LogEvent, frozen=True, tag='run:copied'):
    """A copy of a generation was created or updated."""

    attempt: str


class RunNotCopied(LogEvent, frozen=True, tag='run:not-copied'):
    """A copy could not be created; without a `holder` no endpoint had room."""

    attempt: str
    holder: str | None = None


class StreamEnded(LogEvent, frozen=True, tag='stream:ended'):
    """A stream ended at this node: `whole`, `client gone` or `broken: ...`."""

    attempt: str
    outcome: str


AnyEvent = (
    NodeStarted
    | NodeStopped
    | RequestPlaced
    | RequestSent
    | StreamContinued
    | RunCopied
    | RunNotCopied
    | StreamEnded
)


class LineHeader(msgspec.Struct):
    """The fields that every line of a node has."""

    message_type: str


TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(AnyEvent))
HEADER_DECODER = msgspec.json.Decoder(LineHeader)
EVENT_DECODER = msgspec.json.Decoder(AnyEvent)


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """An event and the node that wrote it."""

    node: str
    event: AnyEvent


@dataclass(frozen=True, slots=True)
class UnreadableLine:
    """A line that has a `{` and is not a valid event."""

    location: str
    detail: str

    @property
    def message(self) -> str:
        """Return which line is invalid, why, and what to do."""
        return (
            f'{self.location}: not a log line of a node ({self.detail}): pass '
            'the unchanged standard output of nodes'
        )


def read_log(
    name: str, lines: Iterable[bytes]
) -> Result[list[NodeEvent], UnreadableLine]:
    """Return the events of streams and nodes in the lines of a file.

    Other events and lines without a JSON object are skipped.
    """
    found = []
    for number, line in enumerate(lines, 1):
        prefix, brace, rest = line.partition(b'{')
        if not brace:
            continue
        try:
            event = decode_event(brace + rest)
        except msgspec.MsgspecError as error:
            return Failure(UnreadableLine(f'{name}:{number}', str(error)))
        if event is not None:
            found.append(NodeEvent(node_name(prefix, name), event))
    return Success(found)


def decode_event(document: bytes) -> AnyEvent | None:
    """Return an event, or None for a type that this module does not read.

    Raises msgspec.MsgspecError.
    """
    if HEADER_DECODER.decode(document).message_type not in TAGS:
        return None
    return EVENT_DECODER.decode(document)


def node_name(prefix: bytes, name: str) -> str:
    """Return the name of the node that wrote a line."""
    words = prefix.decode('utf-8', 'replace').split()
    return words[-1] if words else name
