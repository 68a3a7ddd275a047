"""Measures the time between the events of one stream."""

from dataclasses import dataclass, field

#: Gaps whose median is one measurement: a prompt that is read beside the
#: stream, or an event that the network delays, makes single gaps longer. An odd
#: number.
GAPS = 5
#: Least share of a gap that the node must have waited for the endpoint.
#: Otherwise the client's reading determines when the next event is read.
WAITED_SHARE = 0.5


@dataclass(slots=True)
class GapMeter:
    """Gaps of a stream at its current endpoint.

    `waiting_since` is when the node began to wait for the next event, None
    while it passes the last one on.
    """

    endpoint: str = ''
    delivered: int = 0
    last_at: float = 0
    waiting_since: float | None = None
    gaps: list[float] = field(default_factory=list)

    def has_begun(self) -> bool:
        """Return whether an event of the stream was observed."""
        return bool(self.endpoint)

    def begin_wait(self, now: float) -> None:
        """Record that the node waits for the next event from now on."""
        if self.waiting_since is None:
            self.waiting_since = now

    def observe(
        self, endpoint: str, delivered: int, now: float
    ) -> float | None:
        """Record events; return the median gap when it has been measured.

        `delivered` counts the events of the stream.
        """
        since = now if self.waiting_since is None else self.waiting_since
        self.waiting_since = None
        events = delivered - self.delivered
        gap = now - self.last_at
        is_same = endpoint == self.endpoint
        self.endpoint = endpoint
        self.delivered = delivered
        self.last_at = now
        if not is_same:
            self.gaps.clear()
            return None
        if events <= 0 or now - since < WAITED_SHARE * gap:
            return None
        self.gaps.append(gap / events)
        if len(self.gaps) < GAPS:
            return None
        median = sorted(self.gaps)[GAPS // 2]
        self.gaps.clear()
        return median
