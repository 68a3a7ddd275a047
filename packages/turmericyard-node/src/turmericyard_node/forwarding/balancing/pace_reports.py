"""What a node reports to its hubs about the speeds of endpoints."""

from dataclasses import dataclass, field
from itertools import islice

from turmericyard_protocol.fleet_messages import EndpointPace

MICROSECONDS = 1_000_000
#: Hubs for which reports are kept; there are two at a time.
MAX_HUBS = 4
#: Endpoints that one heartbeat reports; the others follow with the next. A
#: report takes 27 bytes, so that two hubs get less than 1 KB/s.
MAX_REPORTS = 8
#: Bounds of credible figures: counts of one report, and times of an event, a
#: prompt or a call in microseconds.
MAX_COUNT = 1_000_000
MIN_EVENT_US = 100
MAX_EACH_US = 60 * MICROSECONDS


@dataclass(slots=True)
class PaceSums:
    """Sums over the events of an endpoint's streams.

    `running` is the number of generations that ran there, for each event.
    """

    events: int = 0
    event_seconds: float = 0
    running: int = 0

    def add(self, other: 'PaceSums') -> None:
        """Add the events of another sum."""
        self.events += other.events
        self.event_seconds += other.event_seconds
        self.running += other.running

    def to_message(self, identity: str) -> EndpointPace:
        """Return the sums as a message."""
        return EndpointPace(
            identity,
            self.events,
            round(self.event_seconds * MICROSECONDS),
            self.running,
        )


@dataclass(slots=True)
class PaceReports:
    """Observations that each hub has not been sent yet, by endpoint."""

    pending: dict[str, dict[str, PaceSums]] = field(default_factory=dict)

    def add(self, identity: str, sums: PaceSums) -> None:
        """Add observations of an endpoint for all hubs."""
        for by_endpoint in self.pending.values():
            by_endpoint.setdefault(identity, PaceSums()).add(sums)

    def take(self, hub: str) -> tuple[EndpointPace, ...]:
        """Return what was observed since the last report to a hub.

        Nothing is sent twice: a lost report costs some observations. A hub gets
        what is observed from its first report on.
        """
        by_endpoint = self.pending.pop(hub, {})
        self.pending[hub] = by_endpoint
        if len(self.pending) > MAX_HUBS:
            self.pending.pop(next(iter(self.pending)))
        sent = tuple(islice(by_endpoint, MAX_REPORTS))
        return tuple(
            by_endpoint.pop(identity).to_message(identity) for identity in sent
        )


def is_credible(pace: EndpointPace) -> bool:
    """Return whether the figures of a report can be those of an endpoint."""
    counts = (pace.events, pace.running, pace.prompt_tokens, pace.calls)
    if not all(0 <= count <= MAX_COUNT for count in counts):
        return False
    if pace.events and pace.event_us < MIN_EVENT_US * pace.events:
        return False
    return (
        0 <= pace.event_us <= MAX_EACH_US * pace.events
        and 0 <= pace.prompt_us <= MAX_EACH_US * pace.prompt_tokens
        and 0 <= pace.call_us <= MAX_EACH_US * pace.calls
    )
