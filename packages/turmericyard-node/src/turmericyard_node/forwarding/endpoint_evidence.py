"""Counts the answers of endpoints: of this node, and at a hub of all nodes."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_decisions.outlier import FailureEvidence
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_protocol.fleet_messages import EndpointAnswers

#: How long counts are repeated in heartbeats, in seconds: long enough that one
#: heartbeat may be lost.
REPEAT_SECONDS = 0.7
#: How long the evidence of an endpoint is kept without answers, in seconds.
EVIDENCE_TTL_SECONDS = 60.0
#: Time between two removals of expired evidence, in seconds.
CLEANUP_SECONDS = 10.0
MILLISECONDS = 1000
#: Stands for all zones where evidence is kept by zone.
ALL_ZONES = ''


@dataclass(slots=True)
class Counts:
    """Answers of one endpoint since the last heartbeat."""

    good: int = 0
    failed: int = 0
    unreachable: int = 0


@dataclass(slots=True)
class AnswerTally:
    """Records answers as evidence and counts them for the hubs.

    `reported` has the counts of the last heartbeats and the time of each;
    `batch` is the number of the last heartbeat.
    """

    clock: Clock
    counts: dict[str, Counts] = field(default_factory=dict)
    reported: deque[tuple[float, EndpointAnswers]] = field(
        default_factory=deque
    )
    batch: int = 0

    def observe(self, endpoint: Endpoint, *, failed: bool) -> None:
        """Record an answer of an endpoint, or that it failed to answer."""
        endpoint.evidence.observe(failed=failed, now=self.clock())
        counts = self.counts_of(endpoint)
        counts.failed += failed
        counts.good += not failed

    def observe_unreachable(self, endpoint: Endpoint) -> None:
        """Record that no connection reaches an endpoint."""
        endpoint.evidence.observe_unreachable(self.clock())
        self.counts_of(endpoint).unreachable += 1

    def counts_of(self, endpoint: Endpoint) -> Counts:
        """Return the counts of an endpoint since the last heartbeat."""
        return self.counts.setdefault(endpoint.identity, Counts())

    def to_messages(self) -> tuple[EndpointAnswers, ...]:
        """Return the counts since the last heartbeat and those still repeated."""
        now = self.clock()
        while self.reported and self.reported[0][0] < now - REPEAT_SECONDS:
            self.reported.popleft()
        self.batch = max(self.batch + 1, int(now * MILLISECONDS))
        for identity, each in self.counts.items():
            counted = EndpointAnswers(
                self.batch, identity, each.good, each.failed, each.unreachable
            )
            self.reported.append((now, counted))
        self.counts.clear()
        return tuple(counted for _, counted in self.reported)


@dataclass(slots=True)
class FleetEvidence:
    """A hub's evidence from the answers that endpoints gave to all nodes.

    An endpoint may fail the callers of one zone only, so that evidence is kept
    by endpoint and zone, in addition to that of all zones. `weight_of` returns
    the weight of an endpoint's latest answer, `batches` has the last batch of
    each node, `reported_ejections` are the ejections that the hub sent last.
    """

    clock: Clock
    weight_of: Callable[[str], float]
    batches: dict[str, int] = field(default_factory=dict)
    evidence: dict[tuple[str, str], FailureEvidence] = field(
        default_factory=dict
    )
    reported_ejections: tuple[tuple[str, str], ...] = ()
    #: Keys of the evidence by which an endpoint is ejected, or was recently.
    ejected_keys: set[tuple[str, str]] = field(default_factory=set)
    next_cleanup_at: float = 0

    def record(
        self, node: str, zone: str, answers: Iterable[EndpointAnswers]
    ) -> None:
        """Record the answers that a node reports, except for known batches."""
        known = self.batches.get(node, 0)
        for counted in answers:
            if counted.batch > known:
                self.observe(zone, counted)
                self.observe(ALL_ZONES, counted)
                self.batches[node] = counted.batch

    def observe(self, zone: str, counted: EndpointAnswers) -> None:
        """Record the answers of one endpoint, the failures last."""
        key = (counted.identity, zone)
        if key not in self.evidence:
            weight = self.weight_of(counted.identity)
            self.evidence[key] = FailureEvidence(latest_weight=weight)
        found = self.evidence[key]
        now = self.clock()
        for _ in range(counted.good):
            found.observe(failed=False, now=now)
        for _ in range(counted.failed):
            found.observe(failed=True, now=now)
        for _ in range(counted.unreachable):
            found.observe_unreachable(now)
        if found.is_ejected(now):
            self.ejected_keys.add(key)

    def ejected(self) -> tuple[tuple[str, str], ...]:
        """Return the ejected endpoints, each with a zone or `ALL_ZONES`."""
        now = self.clock()
        self.ejected_keys = {
            key
            for key in self.ejected_keys
            if self.evidence[key].is_ejected(now)
        }
        return tuple(sorted(self.ejected_keys))

    def changed_ejections(self) -> tuple[tuple[str, str], ...] | None:
        """Return the ejected endpoints; None when unchanged since last call."""
        now = self.ejected()
        self.remove_expired()
        if now == self.reported_ejections:
            return None
        self.reported_ejections = now
        log_event(
            Event.ENDPOINTS_ASIDE,
            aside=[
                f'{identity} {zone or "all zones"}' for identity, zone in now
            ],
        )
        return now

    def remove_expired(self) -> None:
        """Remove the evidence of endpoints without recent answers."""
        now = self.clock()
        if now < self.next_cleanup_at:
            return
        self.next_cleanup_at = now + CLEANUP_SECONDS
        self.evidence = {
            key: each
            for key, each in self.evidence.items()
            if each.observed_at > now - EVIDENCE_TTL_SECONDS
            or key in self.ejected_keys
        }


def ejected_in_zone(
    ejected: Iterable[tuple[str, str]], zone: str
) -> frozenset[str]:
    """Return the endpoints that are ejected for a zone."""
    return frozenset(
        identity
        for identity, ejected_zone in ejected
        if ejected_zone in {zone, ALL_ZONES}
    )
