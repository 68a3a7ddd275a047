"""Places work: fair queue, choice of an endpoint, permit from its owner.

Work waits in this node's queue and is assigned to an endpoint only when one
can take it.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from uuid import uuid4

import curio

from turmericyard_decisions.fair_queue import FairQueue, QueueEntry
from turmericyard_decisions.load_shedding import (
    ServiceRate,
    Shed,
    check_wait,
)
from turmericyard_decisions.placement import choose_endpoint
from turmericyard_node.candidates import CandidateTable
from turmericyard_node.work import PlacedEndpoint, PlacementRefusal, Work
from turmericyard_protocol.messages import (
    PermitDenied,
    PermitGrant,
    PermitRequest,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Longest time between attempts while work is queued.
RETRY_INTERVAL_SECONDS = 0.02
MAX_PARALLEL_ATTEMPTS = 64
#: Time after which a caller may retry refused work.
RETRY_AFTER_SECONDS = 1.0
#: Time for which a product without a free endpoint is not attempted.
PRODUCT_BACKOFF_SECONDS = 0.03
RECENT_WAITS = 256


@dataclass(slots=True)
class QueuedWork:
    """Work in the queue and the event that its task waits for."""

    work: Work
    entry: QueueEntry
    decided: curio.Event = field(default_factory=curio.Event)
    answer: PlacedEndpoint | PlacementRefusal | None = None
    withdrawn: bool = False


@dataclass(slots=True)
class Dispatcher:
    """The queue of this node and the loop that places the queued work.

    `backoff_until` has, by product, the time before which no attempt is made;
    `rates` has the rate of placed work for each list of pools; `recent_waits`
    has the seconds for which the last placed work waited.
    """

    application: 'Application'
    candidates: CandidateTable
    queue: FairQueue = field(default_factory=FairQueue)
    queued_work: dict[str, QueuedWork] = field(default_factory=dict)
    backoff_until: dict[str, float] = field(default_factory=dict)
    rates: dict[tuple[str, ...], ServiceRate] = field(default_factory=dict)
    wake: curio.Event = field(default_factory=curio.Event)
    running_attempts: int = 0
    recent_waits: deque[float] = field(
        default_factory=lambda: deque(maxlen=RECENT_WAITS)
    )

    async def place(self, work: Work) -> PlacedEndpoint | PlacementRefusal:
        """Return the placed endpoint, or why there was none by the deadline."""
        now = self.application.clock()
        refused = self.check_admission(work, now)
        if refused is not None:
            return refused
        item = QueuedWork(work, work.entry(now))
        work.queued = item.entry
        self.queued_work[item.entry.request_id] = item
        self.queue.push(item.entry, work.weight)
        await self.wake.set()
        try:
            async with curio.timeout_after(max(work.deadline_at - now, 0)):
                await item.decided.wait()
        except curio.TaskTimeout:
            return await self.withdraw(item)
        except curio.CancelledError:
            await self.withdraw(item)
            raise
        self.observe_wait(work, self.application.clock() - now)
        return item.answer or queue_full()

    def check_admission(
        self, work: Work, now: float
    ) -> PlacementRefusal | None:
        """Return why work can't be placed by its deadline; None to queue it."""
        if len(self.queue) >= self.application.settings.limits.queued_requests:
            return queue_full()
        rate = self.rates.setdefault(work.route.pools, ServiceRate())
        ahead = self.queue.tokens_ahead(
            work.entry(now), self.competing_products(work)
        )
        if not ahead:
            rate.observe_idle(now)
        verdict = check_wait(ahead, rate.per_second(now), now, work.deadline_at)
        if isinstance(verdict, Shed):
            return PlacementRefusal(
                'overloaded',
                f'predicted wait {verdict.wait_seconds:.1f} s exceeds the '
                'deadline: retry later',
                verdict.retry_after,
            )
        return None

    def competing_products(self, work: Work) -> frozenset[str]:
        """Return the products whose routes use any of the same pools."""
        routes = self.application.configuration.current.routes.values()
        pools = set(work.route.pools)
        return frozenset(
            route.product for route in routes if pools & set(route.pools)
        )

    async def withdraw(self, item: QueuedWork) -> PlacementRefusal:
        """Remove expired or cancelled work; release its permit, if any."""
        item.withdrawn = True
        self.queued_work.pop(item.entry.request_id, None)
        self.queue.remove(item.entry)
        if isinstance(item.answer, PlacedEndpoint):
            await self.application.release_unused_permit(item.work, item.answer)
        return PlacementRefusal(
            'deadline',
            'no endpoint was free before the deadline: retry later',
            RETRY_AFTER_SECONDS,
        )

    def observe_wait(self, work: Work, seconds: float) -> None:
        """Record how long placed work waited."""
        self.recent_waits.append(seconds)
        self.application.metrics.queue_wait.record(
            seconds, {'product': work.route.product}
        )

    async def run(self) -> None:
        """Place queued work until cancelled."""
        while True:
            await curio.ignore_after(RETRY_INTERVAL_SECONDS, self.wake.wait)
            self.wake.clear()
            if not self.queue:
                await self.wake.wait()
            await self.start_attempts()

    async def start_attempts(self) -> None:
        """Start an attempt for each eligible entry, up to the limit."""
        while self.running_attempts < MAX_PARALLEL_ATTEMPTS:
            entry = self.queue.pop(self.is_eligible)
            if entry is None:
                return
            item = self.queued_work.get(entry.request_id)
            if item is None:
                continue
            self.running_attempts += 1
            await self.application.tasks.spawn(self.attempt, item)

    async def clear_backoffs(self) -> None:
        """Attempt queued work at once, since an endpoint has free capacity."""
        self.backoff_until.clear()
        await self.wake.set()

    def is_eligible(self, entry: QueueEntry) -> bool:
        """Return whether the back-off of the entry's product has ended."""
        until = self.backoff_until.get(entry.product, 0)
        return self.application.clock() >= until

    async def attempt(self, item: QueuedWork) -> None:
        """Try to place one entry; put it back into the queue when denied."""
        try:
            placed = await self.acquire_permit(item.work)
        finally:
            self.running_attempts -= 1
        if isinstance(placed, PlacedEndpoint):
            await self.deliver(item, placed)
        elif not item.withdrawn:
            self.queue.requeue(item.entry)
        await self.wake.set()

    async def deliver(self, item: QueuedWork, placed: PlacedEndpoint) -> None:
        """Pass the placed endpoint to the task that waits for it."""
        if item.withdrawn:
            await self.application.release_unused_permit(item.work, placed)
            return
        now = self.application.clock()
        rate = self.rates.setdefault(item.work.route.pools, ServiceRate())
        rate.observe(now, item.entry.expected_tokens)
        self.queued_work.pop(item.entry.request_id, None)
        item.answer = placed
        await item.decided.set()

    async def acquire_permit(self, work: Work) -> PlacedEndpoint | None:
        """Request a permit from the owner of the best candidate."""
        application = self.application
        now = application.clock()
        found = self.candidates.find(work, now)
        choice = choose_endpoint(
            found,
            self.candidates.demand(work),
            self.candidates.tie_breakers(found),
        )
        if choice.endpoint is None:
            self.backoff_until[work.route.product] = (
                now + PRODUCT_BACKOFF_SECONDS
            )
            self.trace_denial(work, choice.passed)
            return None
        endpoint = application.configuration.current.endpoints[choice.endpoint]
        request = permit_request(work, endpoint.name)
        self.candidates.count_request(endpoint.name)
        answer = await application.permits.acquire(request)
        self.candidates.observe_answer(endpoint.name, answer.load, now)
        if isinstance(answer, PermitDenied):
            self.trace_denial(work, f'{endpoint.name}: {answer.detail}')
            self.candidates.defer(endpoint.name, now + answer.retry_seconds)
            return None
        self.trace_grant(work, answer, choice.passed)
        return PlacedEndpoint(endpoint, answer, now + answer.validity_seconds)

    def trace_denial(self, work: Work, reasons: object) -> None:
        """Record why the work waits."""
        self.application.traces.add(work.request, 'waits', reasons=reasons)

    def trace_grant(
        self, work: Work, grant: PermitGrant, passed: object
    ) -> None:
        """Record the chosen endpoint and why the others were not chosen."""
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


def queue_full() -> PlacementRefusal:
    """Return the refusal of a full queue."""
    return PlacementRefusal(
        'overloaded', 'the queue is full: retry later', RETRY_AFTER_SECONDS
    )
