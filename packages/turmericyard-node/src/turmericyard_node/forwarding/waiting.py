"""Requests that wait for room, the most urgent and then the oldest first."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from itertools import count

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.placement import Placement

#: Time between two looks for room, in seconds.
LOOK_SECONDS = 0.05
#: Share of the latency target for which a request waits for room.
PATIENCE_SHARE = 0.7
#: Places taken in the last seconds tell how fast room becomes free.
PACE_SECONDS = 4.0
#: Shortest time after which a refused client is asked back, in seconds.
SHORTEST_RETURN_SECONDS = 0.3
LONGEST_RETURN_SECONDS = 3.0
#: Refused clients return spread over this part of the expected time, so that
#: they don't come together.
RETURN_SPREAD = (0.8, 1.3)
#: The same after a rest that all endpoints want: not before its end.
REST_SPREAD = (1.0, 1.3)
#: Places remembered to tell the pace.
PACE_PLACES = 64


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting request; `place` is set when `found` is."""

    priority: tuple[int, int]
    number: int
    job: Job = field(compare=False)
    found: curio.Event = field(compare=False, default_factory=curio.Event)
    place: Endpoint | None = field(compare=False, default=None)


@dataclass(frozen=True, slots=True)
class NoRoom:
    """A request is not placed; `return_seconds` is when room is expected."""

    detail: str
    return_seconds: float


@dataclass(slots=True)
class WaitingRoom:
    """Places requests at once, or when room becomes free."""

    placement: Placement
    clock: Clock
    instruments: Instruments
    waiters: list[Waiter] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)
    placed_at: dict[str, deque[float]] = field(default_factory=dict)
    entered: curio.Event = field(default_factory=curio.Event)

    async def enter(self, job: Job) -> Endpoint | NoRoom:
        """Return the place of a request, or why it has none."""
        began_at = self.clock()
        place = await self.find(job)
        self.instruments.waited(
            job.service.name,
            self.clock() - began_at,
            placed=not isinstance(place, NoRoom),
        )
        return place

    async def find(self, job: Job) -> Endpoint | NoRoom:
        """Place a request at once, or when room becomes free in time."""
        patience = self.patience(job)
        rest = self.placement.placer.rest_seconds(job)
        if rest > patience:
            return self.no_room(job, 'all endpoints want a rest', rest)
        if not self.has_rivals(job):
            place = await self.placement.place(job)
            if place is not None:
                self.note(job)
                return place
        expected = self.expected_wait(job)
        if expected > patience:
            return self.no_room(job, 'the wait would be too long')
        return await self.wait(job, patience)

    async def wait(self, job: Job, patience: float) -> Endpoint | NoRoom:
        """Wait for room as long as it is worth it."""
        waiter = Waiter(job.priority, next(self.numbers), job)
        insort(self.waiters, waiter)
        await self.entered.set()
        try:
            async with curio.ignore_after(patience):
                await waiter.found.wait()
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if waiter.place is None:
            return self.no_room(job, 'no room became free')
        return waiter.place

    def has_rivals(self, job: Job) -> bool:
        """Return whether requests wait that go before this one."""
        return any(
            waiter.job.service.name == job.service.name
            and waiter.priority <= job.priority
            for waiter in self.waiters
        )

    def patience(self, job: Job) -> float:
        """Return for how long the request may wait."""
        now = self.clock()
        target = job.route.latency_target_seconds * PATIENCE_SHARE
        waited = now - job.arrival.arrived_at
        return max(0, min(target - waited, job.seconds_left(now) / 2))

    def expected_wait(self, job: Job) -> float:
        """Return when this request would have its turn, by the pace lately."""
        ahead = sum(
            waiter.job.service.name == job.service.name
            and waiter.priority <= job.priority
            for waiter in self.waiters
        )
        return ahead * self.pace(job.service.name)

    def pace(self, service: str) -> float:
        """Return the time between two places lately, in seconds."""
        times = self.placed_at.get(service, ())
        now = self.clock()
        recent = sum(now - time < PACE_SECONDS for time in times)
        return PACE_SECONDS / max(1, recent)

    def no_room(self, job: Job, detail: str, rest: float = 0) -> NoRoom:
        """Return the refusal with the time when room is expected.

        That is not before the end of a rest that all endpoints want, in
        seconds.
        """
        pace = self.pace(job.service.name)
        expected = self.expected_wait(job) + pace
        wait = min(
            max(expected, SHORTEST_RETURN_SECONDS), LONGEST_RETURN_SECONDS
        )
        wait *= self.placement.placer.random.uniform(*RETURN_SPREAD)
        if rest:
            wait = rest * self.placement.placer.random.uniform(*REST_SPREAD)
        log_event(
            Event.REQUEST_NOT_PLACED,
            attempt=job.attempt,
            detail=detail,
            waiting=len(self.waiters),
            pace=round(pace, 3),
            expected=round(expected, 3),
            patience=round(self.patience(job), 3),
            left=round(job.seconds_left(self.clock()), 3),
            return_seconds=round(wait, 3),
        )
        return NoRoom(detail, wait)

    def note(self, job: Job) -> None:
        """Note that a request was placed."""
        times = self.placed_at.setdefault(
            job.service.name, deque(maxlen=PACE_PLACES)
        )
        times.append(self.clock())

    async def run(self) -> None:
        """Look for room while requests wait, until cancelled."""
        while True:
            await self.entered.wait()
            self.entered.clear()
            while self.waiters:
                await curio.sleep(LOOK_SECONDS)
                for waiter in tuple(self.waiters):
                    await self.look(waiter)

    async def look(self, waiter: Waiter) -> None:
        """Give a waiting request its place when there is one."""
        place = await self.placement.place(waiter.job)
        if place is None or waiter not in self.waiters:
            return
        self.note(waiter.job)
        self.waiters.remove(waiter)
        waiter.place = place
        await waiter.found.set()
