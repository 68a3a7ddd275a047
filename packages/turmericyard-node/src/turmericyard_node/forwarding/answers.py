"""What the endpoints answered this node, and at a hub all nodes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericyard_decisions.outlier import FLEET_WEIGHT, Evidence
from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_protocol.fleet_messages import EndpointAnswers

#: How long changed counts are told to hubs, in seconds: some beats may be lost.
TOLD_SECONDS = 3.0
#: How long the evidence of an endpoint is kept without answers, in seconds.
KEPT_SECONDS = 60.0


@dataclass(slots=True)
class Counts:
    """Counted answers of one endpoint; `changed_at` is the last one's time."""

    good: int = 0
    failed: int = 0
    unreachable: int = 0
    changed_at: float = 0


@dataclass(slots=True)
class AnswerTally:
    """Takes answers as evidence here and counts them for the hubs."""

    clock: Clock
    counts: dict[str, Counts] = field(default_factory=dict)

    def observe(self, endpoint: Endpoint, *, failed: bool) -> None:
        """Take an answer, or its loss, into account."""
        endpoint.evidence.observe(failed=failed, now=self.clock())
        counts = self.changed(endpoint)
        counts.failed += failed
        counts.good += not failed

    def observe_unreachable(self, endpoint: Endpoint) -> None:
        """Note that no connection reaches an endpoint."""
        endpoint.evidence.observe_unreachable(self.clock())
        self.changed(endpoint).unreachable += 1

    def changed(self, endpoint: Endpoint) -> Counts:
        """Return the counts of an endpoint, which change now."""
        counts = self.counts.setdefault(endpoint.identity, Counts())
        counts.changed_at = self.clock()
        return counts

    def tell(self) -> tuple[EndpointAnswers, ...]:
        """Return the counts that changed lately."""
        now = self.clock()
        self.counts = {
            identity: counts
            for identity, counts in self.counts.items()
            if now - counts.changed_at < KEPT_SECONDS
        }
        return tuple(
            EndpointAnswers(identity, each.good, each.failed, each.unreachable)
            for identity, each in self.counts.items()
            if now - each.changed_at < TOLD_SECONDS
        )


@dataclass(slots=True)
class FleetEvidence:
    """At a hub, what endpoints answered the nodes of each zone.

    An endpoint may fail the callers of one zone only, so that evidence is
    kept by endpoint and zone. `told` are the last counts of each node,
    `told_aside` what nodes were told last.
    """

    clock: Clock
    told: dict[str, dict[str, EndpointAnswers]] = field(default_factory=dict)
    evidence: dict[tuple[str, str], Evidence] = field(default_factory=dict)
    told_aside: tuple[tuple[str, str], ...] = ()

    def take(
        self, node: str, zone: str, answers: Iterable[EndpointAnswers]
    ) -> None:
        """Take in what a node counted since it told last."""
        known = self.told.setdefault(node, {})
        for counted in answers:
            before = known.get(counted.identity)
            known[counted.identity] = counted
            if before is None or is_restart(before, counted):
                before = EndpointAnswers(counted.identity, 0, 0, 0)
            self.observe(zone, before, counted)

    def observe(
        self, zone: str, before: EndpointAnswers, now: EndpointAnswers
    ) -> None:
        """Take the answers between two counts into account."""
        found = self.evidence.setdefault(
            (now.identity, zone), Evidence(latest_weight=FLEET_WEIGHT)
        )
        moment = self.clock()
        for _ in range(now.good - before.good):
            found.observe(failed=False, now=moment)
        for _ in range(now.failed - before.failed):
            found.observe(failed=True, now=moment)
        for _ in range(now.unreachable - before.unreachable):
            found.observe_unreachable(moment)

    def forget(self, node: str) -> None:
        """Forget the counts of a node that is heard no more."""
        self.told.pop(node, None)

    def is_aside(self, identity: str, zone: str) -> bool:
        """Return whether an endpoint gets nothing from a zone now."""
        found = self.evidence.get((identity, zone))
        return found is not None and found.aside(self.clock())

    def aside(self) -> tuple[tuple[str, str], ...]:
        """Return the endpoints set aside, with the zones that they fail."""
        now = self.clock()
        return tuple(
            sorted(
                key for key, each in self.evidence.items() if each.aside(now)
            )
        )

    def changed_aside(self) -> tuple[tuple[str, str], ...] | None:
        """Return the endpoints set aside if they changed since told."""
        self.forget_old()
        now = self.aside()
        if now == self.told_aside:
            return None
        self.told_aside = now
        return now

    def forget_old(self) -> None:
        """Forget evidence of endpoints that were aside long ago."""
        oldest = self.clock() - KEPT_SECONDS
        old = [
            key
            for key, each in self.evidence.items()
            if 0 < each.aside_until < oldest
        ]
        for key in old:
            self.evidence.pop(key)


def is_restart(before: EndpointAnswers, counted: EndpointAnswers) -> bool:
    """Return whether counts began anew: no count ever falls otherwise."""
    return (
        counted.good < before.good
        or counted.failed < before.failed
        or counted.unreachable < before.unreachable
    )
