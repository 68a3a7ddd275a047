"""Queues requests until an endpoint has room, by priority and then by age."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from itertools import count

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.admission.queue import (
    QueueRefusal,
    WaitTimes,
)
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.placement import HubPlacement

#: Time between two attempts to place the waiting requests, in seconds.
POLL_SECONDS = 0.05
#: Share of the latency target for which a request waits for room.
WAIT_SHARE = 0.7
#: Latency targets after which clients give up a stream without an event.
LATE_TARGETS = 4
#: Window of the placement rate, from which waiting times are estimated, in
#: seconds.
RATE_WINDOW_SECONDS = 4.0
#: Bounds of the retry-after time of a request that found no room, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 3.0
#: Range of the random factor of retry-after times, which keeps refused clients
#: from retrying at the same time.
RETRY_JITTER = (0.8, 1.3)
#: The same while all endpoints ask for a back-off; never below 1, since no retry
#: may come before the back-off ends.
BACK_OFF_JITTER = (1.0, 1.3)
#: Placements of a service whose times are kept for its placement rate.
MAX_PLACEMENT_TIMES = 64


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting request; `endpoint` is set when `placed` is."""

    priority: tuple[int, int]
    number: int
    job: Job = field(compare=False)
    placed: curio.Event = field(compare=False, default_factory=curio.Event)
    endpoint: Endpoint | None = field(compare=False, default=None)


@dataclass(frozen=True, slots=True)
class NotPlaced:
    """Why a request gets no endpoint, and when the client may retry."""

    detail: str
    retry_after_seconds: float


@dataclass(slots=True)
class WaitingRoom:
    """Places requests at once, or as soon as an endpoint has room.

    `placed_at` has the times of the latest placements of each service.
    """

    placement: HubPlacement
    clock: Clock
    instruments: Instruments
    waiters: list[Waiter] = field(default_factory=list)
    sequence: 'count[int]' = field(default_factory=count)
    placed_at: dict[str, deque[float]] = field(default_factory=dict)
    waiter_added: curio.Event = field(default_factory=curio.Event)

    async def acquire(self, job: Job) -> Endpoint | NotPlaced:
        """Return the endpoint for a request, or why there is none."""
        began_at = self.clock()
        endpoint = await self.find_endpoint(job)
        self.instruments.record_wait(
            job.service.name,
            self.clock() - began_at,
            placed=not isinstance(endpoint, NotPlaced),
        )
        return endpoint

    async def find_endpoint(self, job: Job) -> Endpoint | NotPlaced:
        """Place a request at once, or when room becomes free in time."""
        limit = self.wait_limit(job)
        back_off = self.placement.endpoint_selector.back_off_seconds(job)
        if back_off > limit:
            return self.refuse(
                job, 'all endpoints asked this node to back off', back_off
            )
        queue = self.placement.queue_for(job)
        if queue is not None:
            found = await queue.find(job, self.wait_times(job, limit))
            if isinstance(found, QueueRefusal):
                return self.refuse(
                    job, found.detail, retry=found.retry_after_seconds
                )
            if found is not None:
                return found
        if not self.has_waiters_ahead(job):
            endpoint = await self.placement.place(job)
            if endpoint is not None:
                self.record_placement(job)
                return endpoint
        expected = self.expected_wait(job)
        if expected > limit:
            return self.refuse(job, 'the expected wait is too long')
        return await self.wait(job, limit)

    async def wait(self, job: Job, limit: float) -> Endpoint | NotPlaced:
        """Wait for room for at most `limit` seconds."""
        waiter = Waiter(job.priority, next(self.sequence), job)
        insort(self.waiters, waiter)
        await self.waiter_added.set()
        try:
            async with curio.ignore_after(limit):
                await waiter.placed.wait()
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if waiter.endpoint is None:
            return self.refuse(job, 'no endpoint had room in time')
        return waiter.endpoint

    def has_waiters_ahead(self, job: Job) -> bool:
        """Return whether waiting requests go before this one."""
        return any(
            waiter.job.service.name == job.service.name
            and waiter.priority <= job.priority
            for waiter in self.waiters
        )

    def wait_limit(self, job: Job) -> float:
        """Return how long the request may wait for room, in seconds."""
        now = self.clock()
        target = job.route.latency_target_seconds * WAIT_SHARE
        waited = now - job.incoming.arrived_at
        return max(0, min(target - waited, job.seconds_left(now) / 2))

    def wait_times(self, job: Job, limit: float) -> WaitTimes:
        """Return how long a request of a service with a queue may wait.

        It has to be expected to be on time to be queued. Once it is, it is held
        as long as the client waits for a first event: an answer that is late is
        worth more than a refusal after a wait.
        """
        now = self.clock()
        waited = now - job.incoming.arrived_at
        longest = job.route.latency_target_seconds * WAIT_SHARE * LATE_TARGETS
        hold = max(0, min(longest - waited, job.seconds_left(now) / 2))
        return WaitTimes(limit or hold, waited, hold)

    def expected_wait(self, job: Job) -> float:
        """Return the expected wait by the recent placement rate, in seconds."""
        ahead = sum(
            waiter.job.service.name == job.service.name
            and waiter.priority <= job.priority
            for waiter in self.waiters
        )
        return ahead * self.placement_interval(job.service.name)

    def placement_interval(self, service: str) -> float:
        """Return the recent mean time between two placements, in seconds."""
        times = self.placed_at.get(service, ())
        now = self.clock()
        recent = sum(now - time < RATE_WINDOW_SECONDS for time in times)
        return RATE_WINDOW_SECONDS / max(1, recent)

    def refuse(
        self, job: Job, detail: str, back_off: float = 0, retry: float = 0
    ) -> NotPlaced:
        """Log that a request is not placed, and return the refusal.

        The retry-after time is the expected wait, or follows the end of the
        back-off of all endpoints, which `back_off` gives in seconds. A `retry`
        time that the queue of the hub gave is passed on as it is.
        """
        interval = self.placement_interval(job.service.name)
        expected = self.expected_wait(job) + interval
        retry_after = min(
            max(expected, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )
        retry_after *= self.placement.endpoint_selector.random.uniform(
            *RETRY_JITTER
        )
        if back_off:
            retry_after = (
                back_off
                * self.placement.endpoint_selector.random.uniform(
                    *BACK_OFF_JITTER
                )
            )
        retry_after = retry or retry_after
        log_event(
            Event.REQUEST_NOT_PLACED,
            attempt=job.attempt,
            detail=detail,
            waiting=len(self.waiters),
            pace=round(interval, 3),
            expected=round(expected, 3),
            patience=round(self.wait_limit(job), 3),
            left=round(job.seconds_left(self.clock()), 3),
            return_seconds=round(retry_after, 3),
        )
        return NotPlaced(detail, retry_after)

    def record_placement(self, job: Job) -> None:
        """Record the time at which a request was placed."""
        times = self.placed_at.setdefault(
            job.service.name, deque(maxlen=MAX_PLACEMENT_TIMES)
        )
        times.append(self.clock())

    async def run(self) -> None:
        """Place waiting requests when room becomes free, until cancelled."""
        while True:
            await self.waiter_added.wait()
            self.waiter_added.clear()
            while self.waiters:
                await curio.sleep(POLL_SECONDS)
                await self.place_waiters()

    async def place_waiters(self) -> None:
        """Place waiting requests, those of plain services while there is room.

        A call that has no room at any endpoint shows that the others have none.
        """
        full: set[str] = set()
        for waiter in tuple(self.waiters):
            service = waiter.job.service
            if service.name in full:
                continue
            placed = await self.try_place(waiter)
            is_any = not waiter.job.excluded_endpoints
            if not placed and is_any and service.engine is None:
                full.add(service.name)

    async def try_place(self, waiter: Waiter) -> bool:
        """Place a waiting request; return whether an endpoint had room."""
        endpoint = await self.placement.place(waiter.job)
        if endpoint is None:
            return False
        if waiter not in self.waiters:
            await self.placement.release(waiter.job, endpoint.identity)
            return True
        self.record_placement(waiter.job)
        self.waiters.remove(waiter)
        waiter.endpoint = endpoint
        await waiter.placed.set()
        return True
