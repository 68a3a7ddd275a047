"""Decides with the state of a node whether a late request is hedged."""

from dataclasses import dataclass
from typing import TypeVar

from turmericyard_decisions.hedging import (
    HedgingPolicy,
    LateRequest,
    Refusal,
    Sent,
    create_hedging_policy,
)
from turmericyard_decisions.response_times import RequestKind, kind_of
from turmericyard_http.clock import Clock
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.hedging.records import HedgeRecorder
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.sending import NotRun, Sender
from turmericyard_node.forwarding.waiting import WaitingRoom

Outcome = TypeVar('Outcome')


@dataclass(frozen=True, slots=True)
class Hedger:
    """What all hedged requests of a node share."""

    policy: HedgingPolicy
    sender: Sender
    room: WaitingRoom
    clock: Clock
    tasks: BackgroundTasks
    recorder: HedgeRecorder

    def applies(self, job: Job) -> bool:
        """Return whether a request may ever be hedged."""
        return job.route.may_repeat and job.route.attempts > 1

    def begin(self, job: Job) -> RequestKind:
        """Count a request that is sent first, and return its kind."""
        kind = kind_of(job.service.name, job.prompt_tokens())
        if not job.send_count:
            self.policy.budget(kind.service).earn(self.policy.share)
        return kind

    def observe(self, sent: Sent, outcome: object, *, good: bool) -> None:
        """Record how an attempt has ended."""
        now = self.clock()
        if isinstance(outcome, NotRun):
            self.policy.reject(sent, now)
        elif good:
            self.policy.end(sent, now)
        else:
            self.policy.fail(sent, now)

    async def choose(
        self, job: Job, sent: Sent, earlier_runs: int
    ) -> Endpoint | Refusal:
        """Return the endpoint for a hedge, or why there is none.

        A hedge is placed like any request, but never waits for room.
        """
        late = self.describe(job, earlier_runs)
        reason = self.policy.refusal(sent, late, self.clock())
        if reason is not None:
            return reason
        job.excluded_endpoints.add(sent.endpoint)
        endpoint = await self.room.placement.place(job)
        if endpoint is None:
            return Refusal.NO_ROOM
        if endpoint.evidence.is_ejected(self.clock()):
            await self.release(job, endpoint)
            return Refusal.NO_ROOM
        return endpoint

    def describe(self, job: Job, earlier_runs: int) -> LateRequest:
        """Return what the decision about a late request needs to know."""
        strikes = self.sender.crashes.strike_registry
        return LateRequest(
            has_attempts=earlier_runs + 1 < job.route.attempts,
            is_struck=bool(job.unexplained_breaks)
            or any(strikes.known(mark).count for mark in job.marks),
            has_waiters=any(
                waiter.job.service.name == job.service.name
                for waiter in self.room.waiters
            ),
            may_retry=self.sender.may_retry(job),
            seconds_left=job.seconds_left(self.clock()),
        )

    async def release(self, job: Job, endpoint: Endpoint) -> None:
        """Return a place that is not used."""
        await self.room.placement.release(job, endpoint.identity)


def create_hedger(
    share: float, sender: Sender, room: WaitingRoom, tasks: BackgroundTasks
) -> Hedger:
    """Return the hedger of a node for a share of its requests."""
    return Hedger(
        create_hedging_policy(share),
        sender,
        room,
        sender.clock,
        tasks,
        HedgeRecorder(room.instruments),
    )
