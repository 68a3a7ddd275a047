"""Per-second call counts of a store and its rate limits."""

from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Kind of a call for the rate limits."""

    READ = 'reads'
    WRITE = 'writes'
    WATCH = 'watches'


@dataclass(slots=True)
class SecondCount:
    """Numbers of accepted and refused calls in one second."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0


@dataclass(slots=True)
class CallRate:
    """Admits calls within the rate limits; a rate of 0 means no limit.

    A watch counts as a read.
    """

    reads_per_second: int = 0
    writes_per_second: int = 0
    seconds: dict[int, SecondCount] = field(default_factory=dict)

    def admit(self, kind: CallKind, now: float) -> bool:
        """Count one call at `now`; return False when it exceeds its rate."""
        count = self.seconds.setdefault(int(now), SecondCount())
        if self.exceeded(kind, count):
            count.refused += 1
            return False
        setattr(count, kind.value, getattr(count, kind.value) + 1)
        return True

    def exceeded(self, kind: CallKind, count: SecondCount) -> bool:
        """Return whether one more call of the kind would exceed its rate."""
        if kind is CallKind.WRITE:
            return 0 < self.writes_per_second <= count.writes
        return 0 < self.reads_per_second <= count.reads + count.watches
