"""Replays the load of a fleet against the admission queue, without a network.

Engines are sums of memory and slots; a run frees both after its length.
"""

from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from turmericyard_decisions.admission_queue import QueuedRequest
from turmericyard_decisions.placing_round import place_waiting
from turmericyard_decisions.service_admission import create_service_admission
from turmericyard_decisions.urgent_reserve import FreeRoom

SLOTS = 24
MEMORY = 0.92 * 26_800
STEP = 0.025
#: Three large workspaces and 21 small ones.
WORKSPACES = [f'w-{number}' for number in range(24)]
WEIGHTS = [5] * 3 + [1] * 21


@dataclass(frozen=True)
class Kind:
    """A kind of request: `seconds` is the length of an average run."""

    name: str
    rank: tuple[int, int]
    tokens: int
    seconds: float
    target: float
    deadline: float
    spread: float


LONG = Kind('long', (2, 1), 3750, 13.0, 4.0, 39.0, 0.35)
TIGHT = replace(LONG, name='tight', target=1.8)
SHORT = Kind('short', (0, 0), 2558, 0.35, 1.5, 6.0, 0.02)


@dataclass
class Outcome:
    """What became of a request; times are relative to its first arrival."""

    kind: Kind
    request: QueuedRequest
    arrived_at: float
    placed: float | None = None
    refused: float | None = None
    held: float = 0
    tries: int = 1
    in_burst: bool = False

    @property
    def on_time(self) -> bool:
        return self.placed is not None and self.placed <= 0.7 * self.kind.target


@dataclass
class Engines:
    """Engines by their runs; the policy of choice is the emptiest one."""

    size: int
    used: dict[str, float] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)

    def rooms(self) -> list[FreeRoom]:
        return [
            FreeRoom(
                name,
                SLOTS - self.runs.get(name, 0),
                MEMORY - self.used.get(name, 0),
                MEMORY,
            )
            for name in map(str, range(self.size))
        ]

    def place(self, request: QueuedRequest, avoided: Any) -> str:
        fitting = [
            room
            for room in self.rooms()
            if room.identity not in avoided and room.places(request.tokens)
        ]
        if not fitting:
            return ''
        best = max(fitting, key=lambda room: room.tokens).identity
        self.count(best, request.tokens, 1)
        return best

    def count(self, name: str, tokens: float, runs: int) -> None:
        self.used[name] = self.used.get(name, 0) + tokens
        self.runs[name] = self.runs.get(name, 0) + runs

    def is_restricted(self, _request: QueuedRequest) -> bool:
        return False


@dataclass
class Replay:
    """One replay; `rates` are requests a second by kind, at a time."""

    seed: int
    rates: Any
    seconds: float = 40
    engines: Engines = field(default_factory=lambda: Engines(23))
    #: Factors of the load of workspaces.
    floods: dict[str, float] = field(default_factory=dict)
    flood_from: float = 15
    outcomes: list[Outcome] = field(default_factory=list)
    ends: list[Any] = field(default_factory=list)
    returns: list[Any] = field(default_factory=list)
    waiting: dict[Any, Outcome] = field(default_factory=dict)
    numbers: Any = field(default_factory=count)
    #: Memory in use by time, as a share of the whole.
    fill: list[tuple[float, float]] = field(default_factory=list)

    def play(self) -> 'Replay':
        self.random = Random(self.seed)
        self.admission = create_service_admission(0)
        now = 0.0
        while now < self.seconds:
            now = round(now + STEP, 3)
            self.end_runs(now)
            self.refuse_overdue(now)
            while self.returns and self.returns[0][0] <= now:
                self.arrive(heappop(self.returns)[2], now)
            for kind, rate in self.rates(now).items():
                for _ in range(self.draw(rate * STEP)):
                    self.arrive(self.create(kind, now), now)
            self.place(now)
            used = sum(self.engines.used.values())
            self.fill.append((now, used / (MEMORY * self.engines.size)))
        return self

    def draw(self, mean: float) -> int:
        return sum(self.random.random() < mean / 8 for _ in range(8))

    def create(self, kind: Kind, now: float) -> Outcome:
        weights = [
            weight * (self.floods.get(name, 1) if now >= self.flood_from else 1)
            for name, weight in zip(WORKSPACES, WEIGHTS, strict=True)
        ]
        # Floods add to the load of the others instead of replacing it.
        if self.random.random() > sum(WEIGHTS) / sum(weights):
            workspace = next(iter(self.floods))
        else:
            workspace = self.random.choices(WORKSPACES, WEIGHTS)[0]
        factor = self.random.lognormvariate(0, kind.spread)
        tokens = min(kind.tokens * factor, MEMORY / 2)
        request = QueuedRequest(
            'n', str(next(self.numbers)), workspace, kind.name, kind.rank,
            tokens, now + 0.7 * kind.target,
            now + min(2.8 * kind.target, kind.deadline / 2),
        )  # fmt: skip
        outcome = Outcome(kind, request, now)
        self.outcomes.append(outcome)
        return outcome

    def arrive(self, outcome: Outcome, now: float) -> None:
        """Add a request; one that finds no room waits or is refused."""
        request = outcome.request
        if outcome.tries > 1:
            returned = self.admission.returning.claim(
                request.workspace, request.route, now
            )
            kind = outcome.kind
            request = replace(
                request,
                on_time_until=now + 0.7 * kind.target,
                held_until=now + 2.8 * kind.target,
                returned=returned,
            )
            outcome.request = request
        outcome.asked_at = now
        self.waiting[request.key] = outcome
        self.admission.arrive(request, now)
        self.place(now)
        if request.key in self.waiting:
            verdict = self.admission.decide(request.key, now)
            if not verdict.waits:
                self.refuse(request, verdict, now)

    def refuse_overdue(self, now: float) -> None:
        for request, verdict in self.admission.expire(now):
            self.refuse(request, verdict, now)

    def refuse(self, request: QueuedRequest, verdict: Any, now: float) -> None:
        outcome = self.waiting.pop(request.key)
        outcome.held = max(outcome.held, now - outcome.asked_at)
        left = outcome.arrived_at + outcome.kind.deadline - now
        if outcome.tries == 1 and verdict.retry_seconds <= left / 3:
            outcome.tries = 2
            at = now + verdict.retry_seconds
            heappush(self.returns, (at, next(self.numbers), outcome))
            return
        outcome.refused = now

    def place(self, now: float) -> None:
        if not self.admission.queue:
            return
        found = place_waiting(self.admission, self.engines, now)
        for request, engine in found.placed:
            outcome = self.waiting.pop(request.key)
            outcome.placed = now - outcome.asked_at
            kind = outcome.kind
            seconds = kind.seconds * request.tokens / kind.tokens
            end = (now + seconds, next(self.numbers), request, engine, seconds)
            heappush(self.ends, end)

    def end_runs(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, _, request, engine, seconds = heappop(self.ends)
            self.engines.count(engine, -request.tokens, -1)
            self.admission.demand.record_end(request, seconds, now)

    def select(
        self, kind: str, since: float = 15, until: float = 33
    ) -> list[Outcome]:
        return [
            each
            for each in self.outcomes
            if each.kind.name == kind and since <= each.arrived_at < until
        ]


def share(outcomes: list[Outcome], holds: Any) -> float:
    return sum(map(holds, outcomes)) / max(1, len(outcomes))
