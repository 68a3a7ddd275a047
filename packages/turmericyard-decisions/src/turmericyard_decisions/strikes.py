"""Refuses requests that crash one endpoint after the other.

A crash is a strike against each request that ran there, also against those
that did not cause it. A further one counts only for a request that was sent
again after the strike before it was known, so that requests under way at many
endpoints that are lost together get one strike, and a request that runs to
its end has none.

Books of several nodes are merged in any order: the later era of a request
goes first, then the higher count.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

#: Crashes after which a request is not sent any more.
STRIKE_LIMIT = 3
#: How long strikes are remembered without a further one, in seconds.
STRIKE_SECONDS = 300.0
#: Requests remembered; the ones struck longest ago are forgotten first.
MAX_MARKS = 4096


@dataclass(frozen=True, slots=True)
class Strike:
    """What is known against the request with a mark.

    `era` grows with each completion, `count` are the strikes since.
    """

    mark: bytes
    era: int = 0
    count: int = 0


@dataclass(slots=True)
class StrikeBook:
    """Strikes by mark, each with the time at which it is forgotten."""

    clock: Callable[[], float]
    strikes: OrderedDict[bytes, tuple[Strike, float]] = field(
        default_factory=OrderedDict
    )

    def known(self, mark: bytes) -> Strike:
        """Return what is known against a request now."""
        strike, until = self.strikes.get(mark, (Strike(mark), float('inf')))
        if until <= self.clock():
            self.strikes.pop(mark)
            return Strike(mark)
        return strike

    def refuses(self, mark: bytes) -> bool:
        """Return whether the request is not to be sent again."""
        return self.known(mark).count >= STRIKE_LIMIT

    def seconds_left(self, mark: bytes) -> float:
        """Return when the request's strikes are forgotten."""
        _, until = self.strikes.get(mark, (None, 0))
        return max(0, until - self.clock())

    def strike(self, sent: Strike) -> Strike | None:
        """Count a crash against a request, None when it is counted already.

        `sent` is what was known against it when it was sent.
        """
        struck = Strike(sent.mark, sent.era, sent.count + 1)
        return struck if self.merge(struck) else None

    def clear(self, sent: Strike) -> Strike | None:
        """Note that a request ran to its end, None when nothing is known."""
        known = self.known(sent.mark)
        if not known.count:
            return None
        cleared = Strike(known.mark, known.era + 1)
        self.merge(cleared)
        return cleared

    def merge(self, told: Strike) -> bool:
        """Take over what a node knows; return whether it is news."""
        known = self.known(told.mark)
        if (told.era, told.count) <= (known.era, known.count):
            return False
        self.strikes[told.mark] = (told, self.clock() + STRIKE_SECONDS)
        self.strikes.move_to_end(told.mark)
        if len(self.strikes) > MAX_MARKS:
            self.strikes.popitem(last=False)
        return True

    def all_known(self) -> list[Strike]:
        """Return all that is known, for a node that missed news."""
        return [strike for strike, _ in self.strikes.values()]
