"""Reserved places in the order for refused requests that come back.

A client is told when its request can be served. Requests that come back then
go before new ones, at whatever node; otherwise a client that complies would
find the capacity taken by those that came in the meantime.
"""

from collections import deque
from dataclasses import dataclass, field

from turmericyard_decisions.admission_queue import QueuedRequest, Rank

#: Share of the given time after which a request counts as returned: clients may
#: vary the time that they are given.
EARLIEST_SHARE = 0.8
#: Time after the given one for which a place is reserved, in seconds: clients
#: add a random part, and a connection may have to be opened.
MARGIN_SECONDS = 1.0
#: Reserved places of one workspace and route; further ones get none.
MAX_RESERVED = 64
#: Workspaces and routes with reserved places.
MAX_RESERVING = 2000


@dataclass(frozen=True, slots=True)
class ReservedTurn:
    """A place in the order that may be claimed from `since` to `until`."""

    rank: Rank
    tokens: float
    since: float
    until: float


@dataclass(slots=True)
class ReturningRequests:
    """The reserved places by workspace and route, the earliest first."""

    turns: dict[tuple[str, str], deque[ReservedTurn]] = field(
        default_factory=dict
    )

    def reserve(
        self, request: QueuedRequest, seconds: float, now: float
    ) -> bool:
        """Reserve a place for a refused request; return whether there is one."""
        whose = (request.workspace, request.route)
        if whose not in self.turns and len(self.turns) >= MAX_RESERVING:
            return False
        turns = self.turns.setdefault(whose, deque())
        if len(turns) >= MAX_RESERVED:
            return False
        turns.append(
            ReservedTurn(
                request.rank,
                request.tokens,
                now + EARLIEST_SHARE * seconds,
                now + seconds + MARGIN_SECONDS,
            )
        )
        return True

    def claim(self, workspace: str, route: str, now: float) -> bool:
        """Use a reserved place; return whether one could be claimed now."""
        turns = self.turns.get((workspace, route), ())
        for turn in turns:
            if turn.since <= now < turn.until:
                self.turns[workspace, route].remove(turn)
                return True
        return False

    def expire(self, now: float) -> None:
        """Remove places that were not claimed in time."""
        for whose, turns in tuple(self.turns.items()):
            kept = deque(turn for turn in turns if turn.until > now)
            if kept:
                self.turns[whose] = kept
            else:
                self.turns.pop(whose)

    def tokens(self, rank: Rank, now: float) -> tuple[float, float]:
        """Return the reserved tokens that go before new requests of a rank.

        The first number has those that may be claimed now, the second all.
        """
        due: float = 0
        reserved: float = 0
        for turns in self.turns.values():
            for turn in turns:
                if turn.rank <= rank and turn.until > now:
                    reserved += turn.tokens
                    due += turn.tokens if turn.since <= now else 0
        return due, reserved
