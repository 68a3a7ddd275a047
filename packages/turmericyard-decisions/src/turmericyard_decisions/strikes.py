"""Refuses requests and parts of prompts that repeatedly crash endpoints.

Requests and parts are identified by marks. A crash is a strike against each
request that ran on the endpoint and each part of its prompt, including those
that did not cause it. A further strike counts only when the mark was sent again
after the previous one was known. A request or part in progress at several
endpoints that are lost together therefore gets one strike. The strikes of a
request are cleared when it completes, those of a part when any request that has
it begins to be answered.

The strikes of several nodes can be merged in any order: the later era of a mark
takes precedence, then the higher count.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

#: Number of strikes from which a request is not sent any more.
STRIKE_LIMIT = 3
#: The same for a part of a prompt. It is higher, since requests that have
#: nothing else in common are refused for it.
PART_STRIKE_LIMIT = 4
#: Time after which strikes expire unless there is a further one, in seconds.
STRIKE_SECONDS = 300.0
#: Largest number of marks with strikes; the oldest ones are dropped first.
MAX_TRACKED_MARKS = 4096


@dataclass(frozen=True, slots=True)
class Strike:
    """Strikes against a mark, the digest of a request or of a part of a prompt.

    `era` increases each time the strikes are cleared; `count` is the number of
    strikes since.
    """

    mark: bytes
    era: int = 0
    count: int = 0


@dataclass(slots=True)
class StrikeRegistry:
    """Strikes by mark, each with the time at which they expire."""

    clock: Callable[[], float]
    strikes: OrderedDict[bytes, tuple[Strike, float]] = field(
        default_factory=OrderedDict
    )

    def known(self, mark: bytes) -> Strike:
        """Return the strikes against a mark that have not expired."""
        strike, expires_at = self.strikes.get(
            mark, (Strike(mark), float('inf'))
        )
        if expires_at <= self.clock():
            self.strikes.pop(mark)
            return Strike(mark)
        return strike

    def seconds_left(self, mark: bytes) -> float:
        """Return the seconds until the strikes against a mark expire."""
        _, expires_at = self.strikes.get(mark, (None, 0))
        return max(0, expires_at - self.clock())

    def record_strike(self, sent: Strike) -> Strike | None:
        """Count a strike.

        Returns the update for other nodes, None when it was counted before.

        `sent` contains the strikes that were known when the mark was sent.
        """
        updated = Strike(sent.mark, sent.era, sent.count + 1)
        return updated if self.merge(updated) else None

    def clear_strikes(self, mark: bytes) -> Strike | None:
        """Clear the strikes against a mark.

        Returns the update for other nodes, None when there were no strikes.
        """
        known = self.known(mark)
        if not known.count:
            return None
        cleared = Strike(known.mark, known.era + 1)
        self.merge(cleared)
        return cleared

    def merge(self, received: Strike) -> bool:
        """Merge the strikes known to another node; returns whether they are new."""
        known = self.known(received.mark)
        if (received.era, received.count) <= (known.era, known.count):
            return False
        self.strikes[received.mark] = (received, self.clock() + STRIKE_SECONDS)
        self.strikes.move_to_end(received.mark)
        if len(self.strikes) > MAX_TRACKED_MARKS:
            self.strikes.popitem(last=False)
        return True

    def all_strikes(self) -> list[Strike]:
        """Return all strikes, for a node that may have missed updates."""
        return [strike for strike, _ in self.strikes.values()]
