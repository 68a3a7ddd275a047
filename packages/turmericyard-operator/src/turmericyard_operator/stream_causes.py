"""Tells from the events of nodes why streams did not end whole.

Answers what to mend first after a day with failures: streams that end with
their node can't be helped by copies, those that end with their endpoint can.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatchmethod

from turmericyard_operator.node_log import (
    AnyEvent,
    NodeEvent,
    NodeStarted,
    NodeStopped,
    RequestPlaced,
    RequestSent,
    RunCopied,
    RunNotCopied,
    StreamContinued,
    StreamEnded,
)

#: Time in which all nodes start when all were lost together, in seconds: a
#: start takes up to 2 s on a small share of a core.
TOGETHER_SECONDS = 5.0
#: Time before its orderly end in which a node cancels what still runs, in
#: seconds: it keeps this much of its grace for its own end.
CANCEL_SECONDS = 1.0
OPENED = 'status 200'
WHOLE = 'whole'
CLIENT_GONE = 'client gone'


class Cause(Enum):
    """How a stream ended; the value is what operators read."""

    WHOLE = 'ended whole'
    CLIENT_GONE = 'its client left'
    ALL_NODES_LOST = 'all nodes were lost'
    NODE_LOST = 'its node was lost'
    NODE_STOPPED = 'its node stopped, and it outlasted the grace'
    NO_COPY = 'its endpoint ended, and nothing had its memory'
    COPY_REFUSED = 'its endpoint ended, and no copy could be made'
    COPY_LATE = 'its endpoint ended before its copy was made'
    COPY_LOST = 'its endpoint ended, and the one with its copy did not go on'
    COPY_UNUSED = 'its endpoint ended, and its copy could not be used any more'
    OPEN = 'still open when the log ends'


@dataclass(slots=True)
class StreamHistory:
    """What is known of one stream; times are in seconds of wall clock.

    `has_copy` counts from the last time that the stream moved. `refused` and
    `unanswered` are the last copy that could not be made, and the last
    endpoint with a copy that did not go on.
    """

    attempt: str
    node: str
    opened_at: float = 0
    ended_at: float = 0
    outcome: str = ''
    has_copy: bool = False
    refused_at: float = 0
    unanswered_at: float = 0

    def moved(self) -> None:
        """Forget what was known of copies at the place before."""
        self.has_copy = False
        self.refused_at = 0
        self.unanswered_at = 0


@dataclass(slots=True)
class LogHistory:
    """Streams by attempt, and when each node started and stopped."""

    streams: dict[str, StreamHistory] = field(default_factory=dict)
    starts: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    stops: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def observe(self, told: NodeEvent) -> None:
        """Take in one event; those of a node come in their order."""
        self.take(told.event, told.node)

    @singledispatchmethod
    def take(self, event: AnyEvent, node: str) -> None:
        """Take in an event by its kind."""

    @take.register
    def take_start(self, event: NodeStarted, node: str) -> None:
        """Note a node's start."""
        self.starts[node].append(event.timestamp)

    @take.register
    def take_stop(self, event: NodeStopped, node: str) -> None:
        """Note a node's orderly end."""
        self.stops[node].append(event.timestamp)

    @take.register
    def take_place(self, event: RequestPlaced, node: str) -> None:
        """Note a generation; other requests have no prompt."""
        if event.prompt:
            known = StreamHistory(event.attempt, node)
            self.streams.setdefault(event.attempt, known)

    @take.register
    def take_send(self, event: RequestSent, _node: str) -> None:
        """Note that a stream opened, or that it could not go on."""
        stream = self.streams.get(event.attempt)
        if stream is None:
            return
        if event.outcome == OPENED:
            stream.opened_at = stream.opened_at or event.timestamp
            stream.moved()
            stream.has_copy = event.backup is not None
        elif event.continues is not None:
            stream.unanswered_at = event.timestamp

    @take.register
    def take_copy(self, event: RunCopied, _node: str) -> None:
        """Note that a copy of a run was made."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.has_copy = True

    @take.register
    def take_refusal(self, event: RunNotCopied, _node: str) -> None:
        """Note that a copy of a run was not made."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.refused_at = event.timestamp

    @take.register
    def take_move(self, event: StreamContinued, _node: str) -> None:
        """Note that a stream went on elsewhere."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.unanswered_at = 0

    @take.register
    def take_end(self, event: StreamEnded, node: str) -> None:
        """Note how a stream ended."""
        stream = self.streams.setdefault(
            event.attempt, StreamHistory(event.attempt, node)
        )
        stream.opened_at = stream.opened_at or event.timestamp
        stream.ended_at = event.timestamp
        stream.outcome = event.outcome

    def cause(self, stream: StreamHistory) -> Cause:
        """Return how a stream ended."""
        if not stream.ended_at:
            return self.cause_without_end(stream)
        if stream.outcome == WHOLE:
            return Cause.WHOLE
        if stream.outcome == CLIENT_GONE:
            return self.cause_of_leaving(stream)
        return cause_of_break(stream)

    def cause_without_end(self, stream: StreamHistory) -> Cause:
        """Return why a node wrote nothing of a stream's end."""
        later = [at for at in self.starts[stream.node] if at > stream.opened_at]
        if not later:
            return Cause.OPEN
        if self.all_started_by(min(later)):
            return Cause.ALL_NODES_LOST
        return Cause.NODE_LOST

    def all_started_by(self, instant: float) -> bool:
        """Return whether several nodes and all of them started about then."""
        return len(self.starts) > 1 and all(
            any(abs(at - instant) < TOGETHER_SECONDS for at in starts)
            for starts in self.starts.values()
        )

    def cause_of_leaving(self, stream: StreamHistory) -> Cause:
        """Return whether the client left, or the node gave the stream up."""
        stopped = any(
            0 <= at - stream.ended_at < CANCEL_SECONDS
            for at in self.stops[stream.node]
        )
        return Cause.NODE_STOPPED if stopped else Cause.CLIENT_GONE

    def count(self) -> dict[Cause, list[str]]:
        """Return the attempts of opened streams by how they ended."""
        found: dict[Cause, list[str]] = defaultdict(list)
        for stream in self.streams.values():
            if stream.opened_at:
                found[self.cause(stream)].append(stream.attempt)
        return found


def cause_of_break(stream: StreamHistory) -> Cause:
    """Return why a stream did not outlive its endpoint.

    A copy that was under way at its end is told of after it.
    """
    if stream.unanswered_at:
        return Cause.COPY_LOST
    if stream.has_copy:
        return Cause.COPY_UNUSED
    if stream.refused_at >= stream.ended_at:
        return Cause.COPY_LATE
    return Cause.COPY_REFUSED if stream.refused_at else Cause.NO_COPY


def read_history(events: Iterable[NodeEvent]) -> LogHistory:
    """Return what events tell of streams."""
    history = LogHistory()
    for told in events:
        history.observe(told)
    return history
