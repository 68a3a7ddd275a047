"""Places work: fair queue, choice of an endpoint, permit of its owner.

Work waits in this node's queue and is bound to an endpoint only when one can
take it.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from uuid import uuid4

import curio

from turmericyard_decisions.fair_queue import Entry, FairQueue
from turmericyard_decisions.overload import (
    ServiceRate,
    Shed,
    judge_wait,
)
from turmericyard_decisions.placement import choose_endpoint
from turmericyard_node.candidates import CandidateBook
from turmericyard_node.work import NoSlot, Slot, Work
from turmericyard_protocol.messages import (
    PermitDenied,
    PermitGrant,
    PermitRequest,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

IDLE_SECONDS = 0.02
MAX_PARALLEL_ATTEMPTS = 64
RETRY_AFTER_SECONDS = 1.0
BLOCKED_SECONDS = 0.03
RECENT_WAITS = 256


@dataclass(slots=True)
class Waiting:
    """Work in the queue and the event that its task waits for."""

    work: Work
    entry: Entry
    decided: curio.Event = field(default_factory=curio.Event)
    answer: Slot | NoSlot | None = None
    abandoned: bool = False


@dataclass(slots=True)
class Dispatcher:
    """The queue of this node and the loop that empties it."""

    application: 'Application'
    candidates: CandidateBook
    queue: FairQueue = field(default_factory=FairQueue)
    waiting: dict[str, Waiting] = field(default_factory=dict)
    blocked: dict[str, float] = field(default_factory=dict)
    rates: dict[tuple[str, ...], ServiceRate] = field(default_factory=dict)
    wake: curio.Event = field(default_factory=curio.Event)
    attempts: int = 0
    recent_waits: deque[float] = field(
        default_factory=lambda: deque(maxlen=RECENT_WAITS)
    )

    async def place(self, work: Work) -> Slot | NoSlot:
        """Return a slot for the work, or why there is none in time."""
        now = self.application.clock()
        refused = self.judge(work, now)
        if refused is not None:
            return refused
        waiting = Waiting(work, work.entry(now))
        work.queued = waiting.entry
        self.waiting[waiting.entry.request_id] = waiting
        self.queue.push(waiting.entry, work.weight)
        await self.wake.set()
        try:
            async with curio.timeout_after(max(work.deadline_at - now, 0)):
                await waiting.decided.wait()
        except curio.TaskTimeout:
            return await self.give_up(waiting)
        except curio.CancelledError:
            await self.give_up(waiting)
            raise
        self.observe_wait(work, self.application.clock() - now)
        return waiting.answer or no_capacity()

    def judge(self, work: Work, now: float) -> NoSlot | None:
        """Return the refusal of work that could not be served in time."""
        if len(self.queue) >= self.application.settings.limits.queued_requests:
            return no_capacity()
        rate = self.rates.setdefault(work.route.pools, ServiceRate())
        ahead = self.queue.tokens_ahead(work.entry(now), self.rivals(work))
        if not ahead:
            rate.rest(now)
        verdict = judge_wait(ahead, rate.per_second(now), now, work.deadline_at)
        if isinstance(verdict, Shed):
            return NoSlot(
                'overloaded',
                f'predicted wait {verdict.wait_seconds:.1f} s passes the '
                'deadline: come back later',
                verdict.retry_after,
            )
        return None

    def rivals(self, work: Work) -> frozenset[str]:
        """Return the products that wait for endpoints of the same pools."""
        routes = self.application.configuration.current.routes.values()
        pools = set(work.route.pools)
        return frozenset(
            route.product for route in routes if pools & set(route.pools)
        )

    async def give_up(self, waiting: Waiting) -> NoSlot:
        """Take expired work out of the queue, or return its slot unused."""
        waiting.abandoned = True
        self.waiting.pop(waiting.entry.request_id, None)
        self.queue.remove(waiting.entry)
        if isinstance(waiting.answer, Slot):
            await self.application.release_unused(waiting.work, waiting.answer)
        return NoSlot(
            'deadline',
            'no endpoint was free before the deadline: come back later',
            RETRY_AFTER_SECONDS,
        )

    def observe_wait(self, work: Work, seconds: float) -> None:
        """Record how long placed work waited."""
        self.recent_waits.append(seconds)
        self.application.metrics.queue_wait.record(
            seconds, {'product': work.route.product}
        )

    async def run(self) -> None:
        """Empty the queue until cancelled."""
        while True:
            await curio.ignore_after(IDLE_SECONDS, self.wake.wait)
            self.wake.clear()
            if not self.queue:
                await self.wake.wait()
            await self.start_attempts()

    async def start_attempts(self) -> None:
        """Start an attempt for each entry that may be placed now."""
        while self.attempts < MAX_PARALLEL_ATTEMPTS:
            entry = self.queue.pop(self.eligible)
            if entry is None:
                return
            waiting = self.waiting.get(entry.request_id)
            if waiting is None:
                continue
            self.attempts += 1
            await self.application.tasks.spawn(self.attempt, waiting)

    async def try_again(self) -> None:
        """Try waiting work at once, since an endpoint has room."""
        self.blocked.clear()
        await self.wake.set()

    def eligible(self, entry: Entry) -> bool:
        """Return whether the entry's product may find a free endpoint."""
        until = self.blocked.get(entry.product, 0)
        return self.application.clock() >= until

    async def attempt(self, waiting: Waiting) -> None:
        """Try to place one entry; it returns to the queue when denied."""
        try:
            slot = await self.find_slot(waiting.work)
        finally:
            self.attempts -= 1
        if isinstance(slot, Slot):
            await self.deliver(waiting, slot)
        elif not waiting.abandoned:
            self.queue.push_back(waiting.entry)
        await self.wake.set()

    async def deliver(self, waiting: Waiting, slot: Slot) -> None:
        """Hand the slot to the waiting task."""
        if waiting.abandoned:
            await self.application.release_unused(waiting.work, slot)
            return
        now = self.application.clock()
        rate = self.rates.setdefault(waiting.work.route.pools, ServiceRate())
        rate.observe(now, waiting.entry.expected_tokens)
        self.waiting.pop(waiting.entry.request_id, None)
        waiting.answer = slot
        await waiting.decided.set()

    async def find_slot(self, work: Work) -> Slot | None:
        """Ask the owner of the best candidate for a permit."""
        application = self.application
        now = application.clock()
        found = self.candidates.of(work, now)
        choice = choose_endpoint(
            found, self.candidates.demand(work), self.candidates.spread(found)
        )
        if choice.endpoint is None:
            self.blocked[work.route.product] = now + BLOCKED_SECONDS
            self.trace_denial(work, choice.passed)
            return None
        endpoint = application.configuration.current.endpoints[choice.endpoint]
        request = permit_request(work, endpoint.name)
        self.candidates.expect(endpoint.name)
        answer = await application.permits.acquire(request)
        self.candidates.observe(endpoint.name, answer.load, now)
        if isinstance(answer, PermitDenied):
            self.trace_denial(work, f'{endpoint.name}: {answer.detail}')
            self.candidates.defer(endpoint.name, now + answer.retry_seconds)
            return None
        self.trace_grant(work, answer, choice.passed)
        return Slot(endpoint, answer, now + answer.validity_seconds)

    def trace_denial(self, work: Work, reasons: object) -> None:
        """Record why the work waits."""
        self.application.traces.add(work.request, 'waits', reasons=reasons)

    def trace_grant(
        self, work: Work, grant: PermitGrant, passed: object
    ) -> None:
        """Record the choice and why the others were passed over."""
        self.application.traces.add(
            work.request,
            'permit',
            endpoint=grant.endpoint,
            owner=self.application.permits.owner(grant.endpoint),
            load=grant.load,
            passed=passed,
        )


def permit_request(work: Work, endpoint: str) -> PermitRequest:
    """Return the request for a permit, with a new work id."""
    return PermitRequest(
        endpoint,
        uuid4().hex,
        work.route.product,
        work.workspace,
        len(work.prompt),
        work.max_tokens,
        tuple(sorted(work.marks)),
    )


def no_capacity() -> NoSlot:
    """Return the refusal of a full queue."""
    return NoSlot(
        'overloaded', 'the queue is full: come back later', RETRY_AFTER_SECONDS
    )
