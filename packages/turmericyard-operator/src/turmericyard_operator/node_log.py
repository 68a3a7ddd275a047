"""Reads the log lines of nodes that tell how streams went.

A line is a JSON object as a node writes it. Text before it, such as a log
collector adds, may name the node in its last word; without any, the lines of
one file are of one node, which has the file's name.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import get_args

import msgspec
from returns.result import Failure, Result, Success


class LogEvent(
    msgspec.Struct, frozen=True, kw_only=True, tag_field='message_type'
):
    """One event; `timestamp` is in seconds of wall clock time."""

    timestamp: float


class NodeStarted(LogEvent, frozen=True, tag='node:started'):
    """A node's process has started."""


class NodeStopped(LogEvent, frozen=True, tag='node:stopped'):
    """A node has ended in order."""


class RequestPlaced(LogEvent, frozen=True, tag='request:placed'):
    """An endpoint was chosen; only generations have a prompt."""

    attempt: str
    prompt: int = 0


class RequestSent(LogEvent, frozen=True, tag='request:sent'):
    """A request was sent; `continues` names the copy that it goes on from."""

    attempt: str
    outcome: str
    backup: str | None = None
    continues: str | None = None


class StreamContinued(LogEvent, frozen=True, tag='stream:continued'):
    """A stream went on at another endpoint."""

    attempt: str


class RunCopied(LogEvent, frozen=True, tag='run:copied'):
    """A copy of a generation was made or brought up to date."""

    attempt: str


class RunNotCopied(LogEvent, frozen=True, tag='run:not-copied'):
    """A copy could not be made; without a `holder` none had room."""

    attempt: str
    holder: str | None = None


class StreamEnded(LogEvent, frozen=True, tag='stream:ended'):
    """A stream ended here: `whole`, `client gone` or `broken: ...`."""

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


class Head(msgspec.Struct):
    """What every line of a node has."""

    message_type: str


TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(AnyEvent))
HEAD_DECODER = msgspec.json.Decoder(Head)
EVENT_DECODER = msgspec.json.Decoder(AnyEvent)


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """An event and the node that wrote it."""

    node: str
    event: AnyEvent


@dataclass(frozen=True, slots=True)
class UnreadableLine:
    """A line that begins like an event and is none."""

    place: str
    detail: str

    @property
    def message(self) -> str:
        """Return what is wrong and what to do."""
        return (
            f'{self.place}: {self.detail}: pass the standard output of nodes'
            ' as they wrote it'
        )


def read_log(
    name: str, lines: Iterable[bytes]
) -> Result[list[NodeEvent], UnreadableLine]:
    """Return the events of streams and nodes in the lines of a file.

    Lines without a JSON object and other events are passed over.
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
            found.append(NodeEvent(node_of(prefix, name), event))
    return Success(found)


def decode_event(document: bytes) -> AnyEvent | None:
    """Return an event, None for one that tells nothing of streams.

    Raises msgspec.MsgspecError.
    """
    if HEAD_DECODER.decode(document).message_type not in TAGS:
        return None
    return EVENT_DECODER.decode(document)


def node_of(prefix: bytes, name: str) -> str:
    """Return the node that wrote a line."""
    words = prefix.decode('utf-8', 'replace').split()
    return words[-1] if words else name
