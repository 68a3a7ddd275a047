"""The known endpoints and the state of each.

A record may lapse when its endpoint cannot renew it, and appear again after the
outage: its endpoint stays until the store has answered for `RENEWAL_SECONDS`. A
record that goes earlier than it can lapse was removed.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_decisions.outlier import FailureEvidence
from turmericyard_decisions.request_rate import RequestRate
from turmericyard_decisions.service_retry_budget import ColdRateLimiter
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.store_answers import (
    FAILURE_SECONDS,
    StoreAnswers,
)
from turmericyard_ports.endpoint import EndpointRecord, EndpointState
from turmericyard_protocol.fleet_messages import (
    THOUSAND,
    EndpointLimit,
    LeavingSign,
)

#: Time within which live endpoints renew lapsed records after an outage, as
#: specified by the platform, in seconds.
RENEWAL_SECONDS = 2.0
#: Time without a renewal after which a record lapses by default, in seconds.
LAPSE_SECONDS = 3.6
#: Most leaving signs that are kept: those of a large fleet in some minutes.
MAX_SIGNS = 2048
#: Largest limit that is told from others, in requests a second.
MAX_PER_SECOND = 1e6
#: Most limits that are kept: those of a large fleet.
MAX_LIMITS = 4096


@dataclass(slots=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint.

    `gone_at` is when a lapsed record counts as removed if the store still
    answers then, None while the record exists. `renewed_at` is a time before
    its last renewal that this node read from the store itself.
    `back_off_until` is when this node may send requests again, and
    `sent_in_back_off` the number of requests that it sent before that time.
    `limit` is the latest limit that it named to any node, `request_rate` what
    this node sent or placed within it.
    """

    record: EndpointRecord
    cold_until: float = 0
    leaving_since: float | None = None
    gone_at: float | None = None
    renewed_at: float = float('-inf')
    back_off_until: float = 0
    sent_in_back_off: int = 0
    limit: EndpointLimit | None = None
    #: When an answer to this node named it last.
    limit_named_at: float = float('-inf')
    request_rate: RequestRate = field(default_factory=RequestRate)
    evidence: FailureEvidence = field(default_factory=FailureEvidence)
    cold_rate: ColdRateLimiter = field(default_factory=ColdRateLimiter)

    @property
    def identity(self) -> str:
        """Return the identity under which the endpoint is registered."""
        return self.record.identity

    def usable(self) -> bool:
        """Return whether the endpoint may get new requests."""
        return self.leaving_since is None

    def is_backing_off(self, now: float) -> bool:
        """Return whether a back-off that the endpoint asked for has not ended."""
        return now < self.back_off_until

    def back_off(self, until: float) -> None:
        """Send no requests until a time, unless the current back-off ends later."""
        if until > self.back_off_until:
            self.back_off_until = until
            self.sent_in_back_off = 0

    @property
    def requests_per_second(self) -> float | None:
        """Return the limit that the endpoint names now, None without one."""
        return self.limit.per_second if self.limit else None

    @property
    def is_brittle(self) -> bool:
        """Return whether the endpoint falls over when it rejects too much."""
        return self.limit is not None and self.limit.rejections is not None

    def next_limit(
        self, per_second: float | None, rejections: int | None = None
    ) -> EndpointLimit:
        """Return the limit that follows the latest one."""
        version = self.limit.version + 1 if self.limit else 1
        record = self.record
        return EndpointLimit(
            record.identity,
            record.address,
            record.born,
            version,
            None if per_second is None else to_thousandths(per_second),
            rejections,
        )

    def leaving_sign(self) -> LeavingSign:
        """Return the sign that this incarnation of the endpoint leaves."""
        return LeavingSign(self.identity, self.record.address, self.record.born)


def store_not_failing() -> bool:
    """Return False: the store is not known to be failing."""
    return False


LeavingListener = Callable[[Endpoint], None]


@dataclass(slots=True)
class EndpointRegistry:
    """Endpoints by identity; listeners are called with each one that leaves."""

    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    listeners: list[LeavingListener] = field(default_factory=list)
    #: Time of this node's last failed call to the store.
    failed_at: float = float('-inf')
    answers: StoreAnswers = field(default_factory=StoreAnswers)
    #: Time after its last renewal at which a record lapses, in seconds.
    lapse_seconds: float = LAPSE_SECONDS
    #: Returns whether the store answers no node that reads it.
    is_store_failing: Callable[[], bool] = store_not_failing
    #: Leaving signs from the answers of endpoints, by identity, the latest
    #: last. A renewed record does not clear them, since it may be out of date.
    signs: dict[str, LeavingSign] = field(default_factory=dict)
    #: The latest limit that each start of an endpoint named.
    limits: dict[tuple[str, str, int | None], EndpointLimit] = field(
        default_factory=dict
    )

    def observe(self, record: EndpointRecord, now: float) -> None:
        """Apply the current record of an endpoint."""
        known = self.endpoints.get(record.identity)
        if known is None or is_restarted(known.record, record):
            known = Endpoint(record)
            self.endpoints[record.identity] = known
            known.request_rate.restart(now)
            start = (record.identity, record.address, record.born)
            known.limit = self.limits.get(start)
            log_event(
                Event.ENDPOINT_FOUND,
                endpoint=record.identity,
                service=record.service,
                address=record.address,
                cold_seconds=record.cold_seconds,
            )
        known.record = record
        known.gone_at = None
        known.cold_until = now + record.cold_seconds
        if record.state is EndpointState.LEAVING:
            self.mark_leaving(known, now, 'announced')
        elif self.signs.get(record.identity) == known.leaving_sign():
            self.mark_leaving(known, now, 'said so')
        elif known.leaving_since is not None:
            known.leaving_since = None

    def observe_sign(self, sign: LeavingSign, now: float) -> bool:
        """Record a leaving sign; return whether it is new.

        The sign may arrive before the endpoint's record.
        """
        if self.signs.get(sign.identity) == sign:
            return False
        self.signs.pop(sign.identity, None)
        self.signs[sign.identity] = sign
        if len(self.signs) > MAX_SIGNS:
            self.signs.pop(next(iter(self.signs)))
        known = self.endpoints.get(sign.identity)
        if known is not None and known.leaving_sign() == sign:
            self.mark_leaving(known, now, 'said so')
        return True

    def observe_limit(self, limit: EndpointLimit, now: float) -> bool:
        """Record a limit that an endpoint named; return whether it is new.

        The limit may arrive before the endpoint's record.
        """
        latest = self.limits.get(limit.start)
        if latest is not None and not limit.supersedes(latest):
            return False
        self.limits.pop(limit.start, None)
        self.limits[limit.start] = limit
        if len(self.limits) > MAX_LIMITS:
            self.limits.pop(next(iter(self.limits)))
        known = self.endpoints.get(limit.identity)
        if known is None or known.next_limit(None).start != limit.start:
            return True
        if known.requests_per_second is None:
            known.request_rate.restart(now)
        known.limit = limit
        log_event(
            Event.ENDPOINT_LIMITED,
            endpoint=limit.identity,
            limit=limit.per_second,
            rejections=limit.rejections,
            version=limit.version,
        )
        return True

    def limits_in_use(self) -> tuple[EndpointLimit, ...]:
        """Return the limits of endpoints that still have a record."""
        return tuple(
            endpoint.limit
            for endpoint in self.endpoints.values()
            if endpoint.limit is not None
        )

    def signs_in_use(self) -> tuple[LeavingSign, ...]:
        """Return the signs of endpoints that still have a record."""
        return tuple(
            sign
            for identity, sign in self.signs.items()
            if identity in self.endpoints
        )

    def remove(self, identity: str, now: float) -> None:
        """Apply the removal of an endpoint's record."""
        known = self.endpoints.get(identity)
        if known is None:
            return
        if self.may_have_lapsed(known, now):
            known.gone_at = now + RENEWAL_SECONDS
            return
        self.mark_leaving(known, now, 'removed')
        self.endpoints.pop(identity)

    def may_have_lapsed(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a missing record may have lapsed in an outage.

        Failed calls show an outage only to a node that makes calls, when the
        other nodes that do so report failures too: the store may turn single
        nodes away while endpoints renew their records.
        """
        if now - endpoint.renewed_at < self.lapse_seconds:
            return False
        if self.answers.had_outage(now):
            return True
        return self.has_store_failed(now) and self.is_store_failing()

    def record_renewal(self, identity: str, renewed_at: float) -> None:
        """Record a renewal that was made later than a time."""
        known = self.endpoints.get(identity)
        if known is not None:
            known.renewed_at = renewed_at

    def has_store_failed(self, now: float) -> bool:
        """Return whether a call of this node to the store failed recently."""
        return now - self.failed_at < FAILURE_SECONDS

    def expire(self, now: float) -> None:
        """Remove endpoints whose lapsed records were not renewed in time.

        The time counts from the end of an outage.
        """
        had_outage = self.answers.had_outage(now)
        for identity, endpoint in tuple(self.endpoints.items()):
            if endpoint.gone_at is None:
                continue
            if had_outage:
                endpoint.gone_at = now + RENEWAL_SECONDS
            elif endpoint.gone_at <= self.answers.latest_at:
                self.mark_leaving(endpoint, now, 'lapsed')
                self.endpoints.pop(identity)

    def mark_leaving(self, endpoint: Endpoint, now: float, cause: str) -> None:
        """Mark an endpoint as leaving; call the listeners the first time."""
        if endpoint.leaving_since is not None:
            return
        endpoint.leaving_since = now
        log_event(
            Event.ENDPOINT_LEAVING, endpoint=endpoint.identity, sign=cause
        )
        for listener in self.listeners:
            listener(endpoint)

    def backing_off(self, service: str, now: float) -> list[Endpoint]:
        """Return a service's endpoints whose back-off has not ended."""
        return [
            endpoint
            for endpoint in self.usable_of_service(service)
            if endpoint.is_backing_off(now)
        ]

    def usable_of_service(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints of a service that may get requests."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.record.service == service and endpoint.usable()
        ]


def to_thousandths(per_second: float) -> int:
    """Return a limit in thousandths of a request a second."""
    return round(min(per_second, MAX_PER_SECOND) * THOUSAND)


def is_restarted(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether the record is of another incarnation."""
    if known.address != record.address or known.service != record.service:
        return True
    return record.born is not None and known.born != record.born
