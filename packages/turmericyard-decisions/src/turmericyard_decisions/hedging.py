"""Decides when a late request is sent to a second endpoint as well (a hedge).

A hedge helps when one endpoint is slow and does harm when all are: it adds load
where there is too much. The decision therefore compares the late request with
requests that were sent to other endpoints at about the same time.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from math import inf

from turmericyard_decisions.response_times import (
    RequestKind,
    ResponseTimes,
)

#: Range of the delay before a hedge, as multiples of the service's median time.
#: A hedge takes about one median: it gains nothing below the first. An endpoint
#: whose late responses are beyond the second is slow even by its own times.
MIN_DELAY_MEDIANS = 1.5
MAX_DELAY_MEDIANS = 3.0
#: Share of the present delay from which a request still counts as late: learned
#: times change a little between its start and the decision.
STILL_LATE_SHARE = 0.8
#: Hedges that a service may send at once after a time without any.
MAX_SAVED_HEDGES = 5.0
#: Latest requests of a kind that are compared with a late one.
COMPARED_SENDS = 64
#: Responses that are compared with a late request when none was sent later.
LATEST_RESPONSES = 4
#: Time without hedges after an endpoint rejected a request of the service, in
#: seconds: a full service rejects requests at least that often.
REJECTION_PAUSE_SECONDS = 1.0
#: Late requests at an endpoint that are cancelled one after the other. The next
#: one is not hedged, so that its outcome shows whether the endpoint is slow or
#: unreachable: an endpoint whose requests are all cancelled is never ejected.
MAX_CANCELLED = 3


class Refusal(Enum):
    """Why a late request is not hedged."""

    ATTEMPTS = 'attempts'
    STRUCK = 'struck'
    REJECTIONS = 'rejections'
    WAITING = 'waiting'
    SLOW_SERVICE = 'slow service'
    UNOBSERVED = 'unobserved endpoint'
    SHARE = 'share'
    RETRY_BUDGET = 'retry budget'
    DEADLINE = 'deadline'
    #: The times of the service grew while the request ran.
    NOT_LATE = 'not late any more'
    #: No endpoint may get a request at this moment.
    NO_ROOM = 'no room'
    #: The response came while an endpoint was chosen.
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class LateRequest:
    """What the node knows about a late request.

    `has_attempts` tells whether its route permits one more run, `is_struck`
    whether endpoints crashed that ran it or a part of its prompt, and
    `has_waiters` whether requests of its service wait for room.
    """

    has_attempts: bool
    is_struck: bool
    has_waiters: bool
    may_retry: bool
    seconds_left: float


@dataclass(slots=True, eq=False)
class Sent:
    """A request at an endpoint; `seconds` is set when it has ended."""

    kind: RequestKind
    endpoint: str
    sent_at: float
    seconds: float | None = None

    def age(self, now: float) -> float:
        """Return its response time, or the time since it was sent."""
        return now - self.sent_at if self.seconds is None else self.seconds

    def is_known(self, slow_seconds: float, now: float) -> bool:
        """Return whether it is known if its response is slow."""
        return self.seconds is not None or self.age(now) > slow_seconds


@dataclass(slots=True)
class HedgeBudget:
    """Hedges that a service may send: a share of its requests so far."""

    saved: float = 0

    def earn(self, share: float) -> None:
        """Add the share of one request."""
        self.saved = min(self.saved + share, MAX_SAVED_HEDGES)

    def allowed(self) -> bool:
        """Return whether one more hedge stays within the share."""
        return self.saved >= 1

    def spend(self) -> None:
        """Count a hedge."""
        self.saved -= 1


def is_mostly(found: list[bool]) -> bool:
    """Return whether more than half of the values are true."""
    return 2 * sum(found) > len(found)


def recent_sends() -> deque[Sent]:
    """Return an empty list of the latest requests of a kind."""
    return deque(maxlen=COMPARED_SENDS)


@dataclass(slots=True)
class HedgingPolicy:
    """Learns response times and decides about hedges.

    `share` is the share of a service's requests that may be hedged. `sends` has
    the latest requests of each kind, `rejected_at` the time of the latest
    rejection by an endpoint of each service.
    """

    share: float
    times: ResponseTimes = field(default_factory=ResponseTimes)
    budgets: dict[str, HedgeBudget] = field(default_factory=dict)
    sends: dict[RequestKind, deque[Sent]] = field(default_factory=dict)
    rejected_at: dict[str, float] = field(default_factory=dict)

    def budget(self, service: str) -> HedgeBudget:
        """Return the budget of a service."""
        return self.budgets.setdefault(service, HedgeBudget())

    def begin(self, kind: RequestKind, endpoint: str, now: float) -> Sent:
        """Record a request that is sent to an endpoint."""
        sent = Sent(kind, endpoint, now)
        self.sends.setdefault(kind, recent_sends()).append(sent)
        return sent

    def end(self, sent: Sent, now: float) -> None:
        """Record a response."""
        sent.seconds = now - sent.sent_at
        self.times.observe(sent.kind, sent.endpoint, sent.seconds, now)

    def cancel(self, sent: Sent, now: float) -> None:
        """Record that a request was cancelled.

        The time of a late one is a lower bound of its response time. Without
        it, the times of a slow endpoint would be those of its fast responses
        only.
        """
        delay = self.delay(sent.kind, sent.endpoint)
        if delay is None or now - sent.sent_at <= delay:
            self.forget(sent)
            return
        sketch = self.times.sketch(sent.kind, sent.endpoint, now)
        cancelled = sketch.cancelled + 1
        self.end(sent, now)
        sketch.cancelled = cancelled

    def fail(self, sent: Sent, now: float) -> None:
        """Record that a request failed: its time says nothing."""
        self.forget(sent)
        self.times.sketch(sent.kind, sent.endpoint, now).cancelled = 0

    def reject(self, sent: Sent, now: float) -> None:
        """Record that an endpoint rejected a request."""
        self.fail(sent, now)
        self.rejected_at[sent.kind.service] = now

    def forget(self, sent: Sent) -> None:
        """Remove a request from those that others are compared with."""
        found = self.sends.get(sent.kind, ())
        if sent in found:
            self.sends[sent.kind].remove(sent)

    def delay(self, kind: RequestKind, endpoint: str) -> float | None:
        """Return the time after which a response of an endpoint is late.

        None while the times of the service are not known. An endpoint with few
        responses is judged by the times of its service.
        """
        usual = self.times.of_service(kind)
        if usual is None:
            return None
        own = self.times.of_endpoint(kind, endpoint) or usual
        return min(
            max(own.late, usual.median * MIN_DELAY_MEDIANS),
            usual.median * MAX_DELAY_MEDIANS,
        )

    def refusal(
        self, sent: Sent, request: LateRequest, now: float
    ) -> Refusal | None:
        """Return why a late request is not hedged, None when it is."""
        usual = self.times.of_service(sent.kind)
        expected = usual.median if usual else inf
        rejected_at = self.rejected_at.get(sent.kind.service, -inf)
        checks = (
            (Refusal.ATTEMPTS, not request.has_attempts),
            (Refusal.STRUCK, request.is_struck),
            (Refusal.DEADLINE, request.seconds_left < expected),
            (Refusal.REJECTIONS, now - rejected_at < REJECTION_PAUSE_SECONDS),
            (Refusal.WAITING, request.has_waiters),
            (Refusal.NOT_LATE, self.is_on_time(sent, now)),
            (Refusal.SLOW_SERVICE, self.is_service_slow(sent, now)),
            (Refusal.UNOBSERVED, self.is_unobserved(sent, now)),
            (Refusal.SHARE, not self.budget(sent.kind.service).allowed()),
            (Refusal.RETRY_BUDGET, not request.may_retry),
        )
        return next((reason for reason, holds in checks if holds), None)

    def is_service_slow(self, sent: Sent, now: float) -> bool:
        """Return whether other endpoints are as late as that of a request.

        Requests that were sent later decide, since earlier ones may be from
        before a slowdown. At a node with few requests there are none: then the
        latest responses decide, and any other request that is late now.
        """
        usual = self.times.of_service(sent.kind)
        if usual is None:
            return True
        slow_seconds = usual.median * MIN_DELAY_MEDIANS
        others = [
            other
            for other in self.sends.get(sent.kind, ())
            if other.endpoint != sent.endpoint
        ]
        later = [
            other.age(now) > slow_seconds
            for other in others
            if other.sent_at >= sent.sent_at
            and other.is_known(slow_seconds, now)
        ]
        if later:
            return is_mostly(later)
        if any(map(partial(self.is_late, now=now), others)):
            return True
        latest = [other for other in others if other.seconds is not None]
        return is_mostly(
            [
                other.age(now) > slow_seconds
                for other in latest[-LATEST_RESPONSES:]
            ]
        )

    def is_unobserved(self, sent: Sent, now: float) -> bool:
        """Return whether too many requests to an endpoint were cancelled."""
        sketch = self.times.sketch(sent.kind, sent.endpoint, now)
        return sketch.cancelled >= MAX_CANCELLED

    def is_on_time(self, sent: Sent, now: float) -> bool:
        """Return whether a request that was late is so no longer."""
        delay = self.delay(sent.kind, sent.endpoint)
        return delay is None or sent.age(now) < STILL_LATE_SHARE * delay

    def is_late(self, sent: Sent, now: float) -> bool:
        """Return whether a request is still waiting and late."""
        delay = self.delay(sent.kind, sent.endpoint)
        waits = sent.seconds is None
        return waits and delay is not None and sent.age(now) > delay


def create_hedging_policy(share: float) -> HedgingPolicy:
    """Return a policy without observations."""
    return HedgingPolicy(share)
