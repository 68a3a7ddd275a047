"""How busy an endpoint of a plain service is, by one node's own calls.

A node has a small part of an endpoint's calls. The times of its calls and the
rejections that it gets tell what the other nodes send there.
"""

from dataclasses import dataclass
from math import exp

#: Time constant with which call times lose their weight, in seconds.
DECAY_SECONDS = 3.0
#: Time constant of rejections, in seconds: an endpoint that is full has a free
#: slot again after a part of this.
REJECTION_SECONDS = 0.5
#: Calls that weigh as much as the assumption that an endpoint is as fast as the
#: others of its service.
PRIOR_CALLS = 1.0
#: Longest call that counts, in seconds: a single call that hung must not keep
#: an endpoint out for long.
MAX_CALL_SECONDS = 2.0


@dataclass(slots=True)
class Occupancy:
    """Recent calls of this node to one start of an endpoint."""

    start: object
    calls: float = 0
    seconds: float = 0
    rejections: float = 0
    updated_at: float = 0

    def observe_call(self, seconds: float, now: float) -> None:
        """Record a call that took a time."""
        self.advance(now)
        self.calls += 1
        self.seconds += min(max(seconds, 0), MAX_CALL_SECONDS)

    def observe_rejection(self, now: float) -> None:
        """Record a call that the endpoint rejected."""
        self.advance(now)
        self.rejections += 1

    def advance(self, now: float) -> None:
        """Reduce the weight of what was observed earlier."""
        passed = max(0, now - self.updated_at)
        self.updated_at = now
        kept = exp(-passed / DECAY_SECONDS)
        self.calls *= kept
        self.seconds *= kept
        self.rejections *= exp(-passed / REJECTION_SECONDS)

    def expected_seconds(
        self, usual_seconds: float, running: int, slots: int
    ) -> float:
        """Return the expected time of one more call.

        `usual_seconds` is that of the service. Open calls of this node that
        have not ended count as well as rejections.
        """
        seconds = (self.seconds + PRIOR_CALLS * usual_seconds) / (
            self.calls + PRIOR_CALLS
        )
        return seconds * (1 + running / max(1, slots) + self.rejections)


def usual_call_seconds(occupancies: list[Occupancy], now: float) -> float:
    """Return the mean time of the calls to all endpoints of a service.

    Without any call the value does not matter, since all are equal.
    """
    for occupancy in occupancies:
        occupancy.advance(now)
    calls = sum(each.calls for each in occupancies)
    seconds = sum(each.seconds for each in occupancies)
    return seconds / calls if calls else 1
