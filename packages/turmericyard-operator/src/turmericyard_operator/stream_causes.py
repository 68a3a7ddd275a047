"""Finds in the events of nodes why streams did not complete.

The counts show what to repair first after failures: copies cannot save
streams whose node was lost, but they can save those whose endpoint failed.
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

#: Seconds within which all nodes start again when all were lost together; a
#: start takes up to 2 s on a small share of a core.
COMMON_START_SECONDS = 5.0
#: Seconds before its orderly end in which a node cancels the streams that
#: still run: the node reserves this part of its grace period for shutdown.
SHUTDOWN_CANCEL_SECONDS = 1.0
OPENED = 'status 200'
WHOLE = 'whole'
CLIENT_GONE = 'client gone'


class Cause(Enum):
    """How a stream ended; the value is the text that operators read."""

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
    """Events of one stream; times are wall-clock seconds, 0 for never.

    `has_copy` is about the endpoint at which the stream runs now.
    `copy_refused_at` is when a copy last could not be created, and
    `resume_failed_at` when an endpoint with a copy last did not resume.
    """

    attempt: str
    node: str
    opened_at: float = 0
    ended_at: float = 0
    outcome: str = ''
    has_copy: bool = False
    copy_refused_at: float = 0
    resume_failed_at: float = 0

    def clear_copies(self) -> None:
        """Clear what was recorded about copies at the previous endpoint."""
        self.has_copy = False
        self.copy_refused_at = 0
        self.resume_failed_at = 0


@dataclass(slots=True)
class LogHistory:
    """Streams by attempt, and the start and stop times of each node."""

    streams: dict[str, StreamHistory] = field(default_factory=dict)
    starts: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    stops: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, node_event: NodeEvent) -> None:
        """Record one event; the events of a node have to come in order."""
        self.record(node_event.event, node_event.node)

    @singledispatchmethod
    def record(self, event: AnyEvent, node: str) -> None:
        """Record an event by its type; other types are ignored."""

    @record.register
    def record_start(self, event: NodeStarted, node: str) -> None:
        """Record the start of a node."""
        self.starts[node].append(event.timestamp)

    @record.register
    def record_stop(self, event: NodeStopped, node: str) -> None:
        """Record the orderly stop of a node."""
        self.stops[node].append(event.timestamp)

    @record.register
    def record_placement(self, event: RequestPlaced, node: str) -> None:
        """Record a new generation; other requests have no prompt."""
        if event.prompt:
            stream = StreamHistory(event.attempt, node)
            self.streams.setdefault(event.attempt, stream)

    @record.register
    def record_send(self, event: RequestSent, _node: str) -> None:
        """Record that a stream opened, or that a copy did not resume it."""
        stream = self.streams.get(event.attempt)
        if stream is None:
            return
        if event.outcome == OPENED:
            stream.opened_at = stream.opened_at or event.timestamp
            stream.clear_copies()
            stream.has_copy = event.backup is not None
        elif event.continues is not None:
            stream.resume_failed_at = event.timestamp

    @record.register
    def record_copy(self, event: RunCopied, _node: str) -> None:
        """Record that a copy of a run was created."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.has_copy = True

    @record.register
    def record_copy_refusal(self, event: RunNotCopied, _node: str) -> None:
        """Record that a copy of a run was not created."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.copy_refused_at = event.timestamp

    @record.register
    def record_resumption(self, event: StreamContinued, _node: str) -> None:
        """Record that a stream resumed at another endpoint."""
        stream = self.streams.get(event.attempt)
        if stream is not None:
            stream.resume_failed_at = 0

    @record.register
    def record_end(self, event: StreamEnded, node: str) -> None:
        """Record how a stream ended."""
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
            return self.cause_of_client_gone(stream)
        return cause_of_break(stream)

    def cause_without_end(self, stream: StreamHistory) -> Cause:
        """Return why the log has no end of a stream."""
        later = [at for at in self.starts[stream.node] if at > stream.opened_at]
        if not later:
            return Cause.OPEN
        if self.all_started_around(min(later)):
            return Cause.ALL_NODES_LOST
        return Cause.NODE_LOST

    def all_started_around(self, instant: float) -> bool:
        """Return whether there are several nodes and all started about then."""
        return len(self.starts) > 1 and all(
            any(abs(at - instant) < COMMON_START_SECONDS for at in starts)
            for starts in self.starts.values()
        )

    def cause_of_client_gone(self, stream: StreamHistory) -> Cause:
        """Return whether the client left or a stopping node cancelled it."""
        stopped = any(
            0 <= at - stream.ended_at < SHUTDOWN_CANCEL_SECONDS
            for at in self.stops[stream.node]
        )
        return Cause.NODE_STOPPED if stopped else Cause.CLIENT_GONE

    def attempts_by_cause(self) -> dict[Cause, list[str]]:
        """Return the attempts of opened streams by how they ended."""
        attempts: dict[Cause, list[str]] = defaultdict(list)
        for stream in self.streams.values():
            if stream.opened_at:
                attempts[self.cause(stream)].append(stream.attempt)
        return attempts


def cause_of_break(stream: StreamHistory) -> Cause:
    """Return why a stream did not survive its endpoint.

    A copy that was being created at the end is logged as failed after it.
    """
    if stream.resume_failed_at:
        return Cause.COPY_LOST
    if stream.has_copy:
        return Cause.COPY_UNUSED
    if stream.copy_refused_at >= stream.ended_at:
        return Cause.COPY_LATE
    return Cause.COPY_REFUSED if stream.copy_refused_at else Cause.NO_COPY


def read_history(events: Iterable[NodeEvent]) -> LogHistory:
    """Return the history that the events describe."""
    history = LogHistory()
    for node_event in events:
        history.add(node_event)
    return history
