"""Orders the requests of one service that wait for capacity at a hub.

More urgent requests go first. Among equally urgent ones, those that come back
after a refusal go before new ones, and those that can no longer be on time go
last: delaying one that can be on time for a late one would make both late.
Within such a lane the workspace that was served least goes first, and of its
requests the one with the least time left.
"""

import math
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import heapify, heappop, heappush

from turmericyard_decisions.workspace_shares import (
    SHARE_SECONDS,
    DecayedSum,
    WorkspaceShares,
)

#: Requests that may wait for one service; each takes about a kilobyte. It is
#: several times what can be served within the waits of latency targets.
MAX_WAITING = 2000

#: Share of the served tokens that a rank gets while requests of it are late, so
#: that masses of more urgent ones do not stop it.
MIN_RANK_SHARE = 0.05

#: Priority of the workspace and of the route, 0 first.
Rank = tuple[int, int]
#: Node and attempt of a request.
Key = tuple[str, str]


class Turn(IntEnum):
    """Order of equally urgent requests."""

    RETURNED = 0
    NEW = 1
    LATE = 2


Lane = tuple[Rank, Turn]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A waiting request of a node; times are those of the hub's clock.

    `tokens` is the forecast of its memory. It can be on time when it is placed
    by `on_time_until`, and is held until `held_until` at the latest.
    """

    node: str
    attempt: str
    workspace: str
    route: str
    rank: Rank
    tokens: float
    on_time_until: float
    held_until: float
    returned: bool = False

    @property
    def key(self) -> Key:
        """Return what identifies the request."""
        return (self.node, self.attempt)

    def lane(self, now: float) -> Lane:
        """Return the lane to which the request belongs now."""
        if now >= self.on_time_until:
            return (self.rank, Turn.LATE)
        return (self.rank, Turn.RETURNED if self.returned else Turn.NEW)

    def next_change(self, now: float) -> float:
        """Return when the request is late, or may not be held any longer."""
        if now < self.on_time_until:
            return self.on_time_until
        return self.held_until


#: Requests of a lane by workspace, those with the least time left first.
WaitingByWorkspace = dict[str, list[QueuedRequest]]


def time_left(request: QueuedRequest) -> float:
    """Return the sort key of a workspace's requests."""
    return request.on_time_until


@dataclass(slots=True)
class AdmissionQueue:
    """The waiting requests by lane and workspace.

    `places` has the lane in which each request was put.
    """

    shares: WorkspaceShares = field(default_factory=WorkspaceShares)
    requests: dict[Key, QueuedRequest] = field(default_factory=dict)
    places: dict[Key, Lane] = field(default_factory=dict)
    lanes: dict[Lane, WaitingByWorkspace] = field(default_factory=dict)
    served: dict[Rank, DecayedSum] = field(default_factory=dict)
    #: Earliest time at which a request is late or must not be held any longer.
    next_change: float = math.inf

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request: QueuedRequest, now: float) -> None:
        """Add a request; one with the same key is replaced."""
        self.remove(request.key)
        lane = request.lane(now)
        self.next_change = min(self.next_change, request.next_change(now))
        self.requests[request.key] = request
        self.places[request.key] = lane
        workspaces = self.lanes.setdefault(lane, {})
        insort(
            workspaces.setdefault(request.workspace, []),
            request,
            key=time_left,
        )

    def remove(self, key: Key) -> QueuedRequest | None:
        """Remove a request and return it, None when it does not wait."""
        request = self.requests.pop(key, None)
        if request is None:
            return None
        lane = self.places.pop(key)
        workspaces = self.lanes[lane]
        workspaces[request.workspace].remove(request)
        if not workspaces[request.workspace]:
            workspaces.pop(request.workspace)
        if not workspaces:
            self.lanes.pop(lane)
        return request

    def serve(self, key: Key, now: float) -> QueuedRequest | None:
        """Remove a request that got a place and count it as served."""
        request = self.remove(key)
        if request is not None:
            self.shares.record(request.workspace, request.tokens, now)
            served = self.served.setdefault(
                request.rank, DecayedSum(SHARE_SECONDS)
            )
            served.add(request.tokens, now)
        return request

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that must not be held any longer.

        Moves those that can no longer be on time to their lane.
        """
        if now < self.next_change:
            return []
        self.next_change = math.inf
        overdue = []
        for request in tuple(self.requests.values()):
            if now >= request.held_until:
                self.remove(request.key)
                overdue.append(request)
            elif request.lane(now) == self.places[request.key]:
                self.next_change = min(
                    self.next_change, request.next_change(now)
                )
            else:
                self.add(request, now)
        return overdue

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which they are served.

        The queue must not change while the iterator is used.
        """
        starved = self.starved_rank(now)
        ordered = sorted((lane[0] != starved, lane) for lane in self.lanes)
        for _, lane in ordered:
            yield from self.lane_in_order(self.lanes[lane], now)

    def starved_rank(self, now: float) -> Rank | None:
        """Return the rank with late requests that got less than its share."""
        late = sorted(rank for rank, turn in self.lanes if turn is Turn.LATE)
        total = sum(served.value(now) for served in self.served.values())
        for rank in late:
            served = self.served.get(rank)
            got = served.value(now) if served else 0
            if got < MIN_RANK_SHARE * total:
                return rank
        return None

    def lane_in_order(
        self, workspaces: WaitingByWorkspace, now: float
    ) -> Iterator[QueuedRequest]:
        """Yield the requests of a lane, the least served workspace first."""
        heads = [
            (self.shares.charge(workspace, now), time_left(own[0]), workspace)
            for workspace, own in workspaces.items()
        ]
        heapify(heads)
        taken = dict.fromkeys(workspaces, 0)
        while heads:
            charge, _, workspace = heappop(heads)
            own = workspaces[workspace]
            request = own[taken[workspace]]
            yield request
            taken[workspace] += 1
            if taken[workspace] < len(own):
                charge += self.shares.step(workspace, request.tokens)
                following = own[taken[workspace]]
                heappush(heads, (charge, time_left(following), workspace))

    def tokens_ahead(self, request: QueuedRequest, now: float) -> float:
        """Return the tokens of the requests that are served before this one.

        Of another workspace in the same lane, those count that fit into its
        share until the request has its turn.
        """
        lane = request.lane(now)
        ahead = sum(
            sum_tokens(own)
            for other, workspaces in self.lanes.items()
            if other < lane
            for own in workspaces.values()
        )
        workspaces = self.lanes.get(lane, {})
        before = sum_tokens(
            [
                other
                for other in workspaces.get(request.workspace, ())
                if other.key != request.key
                and time_left(other) <= time_left(request)
            ]
        )
        charge = self.shares.charge(request.workspace, now)
        charge += self.shares.step(request.workspace, before)
        for workspace, own in workspaces.items():
            if workspace != request.workspace:
                ahead += self.tokens_within(workspace, own, charge, now)
        return ahead + before

    def late_tokens(self, rank: Rank) -> float:
        """Return the tokens of the late requests of a rank."""
        lane = self.lanes.get((rank, Turn.LATE), {})
        return sum(sum_tokens(own) for own in lane.values())

    def tokens_within(
        self,
        workspace: str,
        own: list[QueuedRequest],
        charge: float,
        now: float,
    ) -> float:
        """Return a workspace's tokens that are served up to a charge."""
        reached = self.shares.charge(workspace, now)
        tokens: float = 0
        for request in own:
            if reached > charge:
                break
            tokens += request.tokens
            reached += self.shares.step(workspace, request.tokens)
        return tokens


def sum_tokens(requests: list[QueuedRequest]) -> float:
    """Return the tokens of requests."""
    return sum(request.tokens for request in requests)


def create_admission_queue() -> AdmissionQueue:
    """Return an empty queue."""
    return AdmissionQueue()
