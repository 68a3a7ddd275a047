"""Refuses requests and parts of prompts that repeatedly crash endpoints.

Requests and parts are identified by marks. A crash is a strike against each
request that ran on the endpoint and each part of its prompt, including those
that did not cause it. A further strike counts only when the mark was sent again
after the previous one was known. A request or part in progress at several
endpoints that are lost together therefore gets one strike. The strikes of a
request are cleared when it completes, those of a part when any request that has
it was answered for some time, or completes.

The strikes against the part that is the cause and against the parts that always
come with it are alike. A request that has only some of them is therefore sent
while another one explains the crashes: its answer clears its parts.

The strikes of several nodes can be merged in any order: the later era of a mark
takes precedence, then the higher count.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

#: Number of strikes from which a request is not sent any more.
STRIKE_LIMIT = 3
#: The same for a part of a prompt. It is higher, since requests that have
#: nothing else in common are refused for it.
PART_STRIKE_LIMIT = 4
#: A companion may be the cause of a part's strikes if it has at most so many
#: fewer.
EXPLAINED_MARGIN = 2
#: Largest number of companions that are kept of a part.
MAX_COMPANIONS = 16
#: Time after which strikes expire unless there is a further one, in seconds.
STRIKE_SECONDS = 300.0
#: Time for which a part is refused at first, in seconds; it doubles with each
#: further strike. After it, a request with the part is sent to find out whether
#: it still crashes endpoints.
REFUSAL_SECONDS = 30.0
#: Largest number of times that the refusal of a part doubles: to some hours.
MAX_DOUBLINGS = 9
#: Largest number of marks with strikes; the oldest ones are dropped first.
MAX_TRACKED_MARKS = 4096


@dataclass(frozen=True, slots=True)
class Strike:
    """Strikes against a mark, the digest of a request or of a part of a prompt.

    `era` increases each time the strikes are cleared; `count` is the number of
    strikes since. `companions` are the marks of other parts of the struck
    prompts, the smallest ones if there are more than `MAX_COMPANIONS`.
    """

    mark: bytes
    era: int = 0
    count: int = 0
    companions: frozenset[bytes] = frozenset()

    def merge(self, other: 'Strike') -> 'Strike':
        """Return the union of two strikes against the same mark."""
        if self.era != other.era:
            return max(self, other, key=lambda strike: strike.era)
        return Strike(
            self.mark,
            self.era,
            max(self.count, other.count),
            smallest(self.companions | other.companions),
        )


@dataclass(slots=True)
class StrikeRegistry:
    """Strikes by mark, each with the time of the last strike."""

    clock: Callable[[], float]
    strikes: OrderedDict[bytes, tuple[Strike, float]] = field(
        default_factory=OrderedDict
    )

    def known(self, mark: bytes) -> Strike:
        """Return the strikes against a mark that have not expired."""
        found = self.strikes.get(mark)
        if found is None:
            return Strike(mark)
        strike, struck_at = found
        lifetime = max(STRIKE_SECONDS, 2 * refusal_seconds(strike))
        if struck_at + lifetime <= self.clock():
            self.strikes.pop(mark)
            return Strike(mark)
        return strike

    def refuses_request(self, mark: bytes) -> bool:
        """Return whether the request with this mark must not be sent again."""
        return self.known(mark).count >= STRIKE_LIMIT

    def refuses_part(self, mark: bytes, parts: Collection[bytes]) -> bool:
        """Return whether a request with these parts is refused for one of them.

        It is not while a companion that the request does not have may be the
        cause of the crashes.
        """
        strike = self.known(mark)
        if strike.count < PART_STRIKE_LIMIT or not self.refusal_left(mark):
            return False
        return not any(
            self.known(companion).count
            >= max(PART_STRIKE_LIMIT, strike.count - EXPLAINED_MARGIN)
            for companion in strike.companions
            if companion not in parts
        )

    def seconds_left(self, mark: bytes) -> float:
        """Return the seconds until the strikes against a request expire."""
        _, struck_at = self.strikes.get(mark, (None, float('-inf')))
        return max(0, struck_at + STRIKE_SECONDS - self.clock())

    def refusal_left(self, mark: bytes) -> float:
        """Return the seconds until a refused part is tried again."""
        strike, struck_at = self.strikes.get(mark, (Strike(mark), 0))
        if strike.count < PART_STRIKE_LIMIT:
            return 0
        return max(0, struck_at + refusal_seconds(strike) - self.clock())

    def record_strike(
        self, sent: Strike, parts: Iterable[bytes] = ()
    ) -> Strike | None:
        """Count a strike.

        Returns the update for other nodes, None when it was counted before.

        `sent` contains the strikes that were known when the mark was sent, and
        `parts` the marks of the parts of the prompt if the mark is one of them.
        """
        companions = smallest(frozenset(parts) - {sent.mark})
        updated = Strike(sent.mark, sent.era, sent.count + 1, companions)
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
        merged = known.merge(received)
        if merged == known:
            return False
        struck_at = self.clock()
        if (merged.era, merged.count) == (known.era, known.count):
            _, struck_at = self.strikes[received.mark]
        self.strikes[received.mark] = (merged, struck_at)
        self.strikes.move_to_end(received.mark)
        if len(self.strikes) > MAX_TRACKED_MARKS:
            self.strikes.popitem(last=False)
        return True

    def all_strikes(self) -> list[Strike]:
        """Return all strikes, for a node that may have missed updates."""
        return [strike for strike, _ in self.strikes.values()]


def refusal_seconds(strike: Strike) -> float:
    """Return for how long a part with these strikes is refused, in seconds."""
    doublings = min(strike.count - PART_STRIKE_LIMIT, MAX_DOUBLINGS)
    return math.ldexp(REFUSAL_SECONDS, doublings)


def smallest(marks: Iterable[bytes]) -> frozenset[bytes]:
    """Return the smallest `MAX_COMPANIONS` marks."""
    return frozenset(sorted(marks)[:MAX_COMPANIONS])
