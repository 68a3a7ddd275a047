"""Which endpoints a request may be sent to while a version is rolled out."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from xxhash import xxh3_64_intdigest

from turmericyard_decisions.rollout_stage import (
    FRACTIONS,
    Stage,
    count_canaries,
    draw_probability,
)
from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.rollout.registry import (
    Rollout,
    RolloutRegistry,
)
from turmericyard_node.forwarding.rollout.responses import ResponseCounter
from turmericyard_ports.rollout import Version

#: Time for which the drawn version holds, in seconds: a request that found no
#: endpoint of the new version within it goes to the old one.
DRAW_SECONDS = 0.03


@dataclass(slots=True)
class RolloutFilter:
    """Draws the version of each request and counts the sends."""

    registry: RolloutRegistry
    platform_state: PlatformState
    clock: Clock
    responses: ResponseCounter
    random: Random = field(default_factory=Random)

    def avoided(self, job: Job) -> list[str]:
        """Return the endpoints that a request must not be placed at."""
        service = job.service.name
        rollout = self.registry.rollouts.get(service)
        if rollout is None or rollout.withdrawn:
            return self.avoided_without_order(service, rollout)
        endpoints = self.endpoints(service)
        if is_pinned(job, rollout):
            return [
                endpoint.identity
                for endpoint in endpoints
                if endpoint.record.version != job.version_draw.version
            ]
        if self.draws_new(job, rollout, endpoints):
            allowed = self.new_endpoints(rollout, endpoints)
        else:
            allowed = old_endpoints(rollout, endpoints)
        identities = {endpoint.identity for endpoint in allowed}
        return [
            endpoint.identity
            for endpoint in endpoints
            if endpoint.identity not in identities
        ]

    def avoided_without_order(
        self, service: str, rollout: Rollout | None
    ) -> list[str]:
        """Return the endpoints of versions that were not completed.

        Versions are not distinguished where a service has no others.
        """
        barred = self.registry.barred(service)
        if rollout is not None and rollout.stage is not Stage.COMPLETED:
            barred = (*barred, rollout.order.version)
        if not barred:
            return []
        endpoints = self.endpoints(service)
        found = [
            endpoint.identity
            for endpoint in endpoints
            if endpoint.record.version in barred
        ]
        return found if len(found) < len(endpoints) else []

    def avoided_for_copy(self, service: str, source: Endpoint) -> list[str]:
        """Return the endpoints of other versions than that of a run."""
        if service not in self.registry.rollouts:
            return []
        return [
            endpoint.identity
            for endpoint in self.endpoints(service)
            if endpoint.record.version != source.record.version
        ]

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the usable endpoints of a service."""
        return list(self.platform_state.usable_endpoints(service))

    def draws_new(
        self, job: Job, rollout: Rollout, endpoints: list[Endpoint]
    ) -> bool:
        """Return whether a request goes to the new version.

        The draw holds for one send, and only for a short time.
        """
        stage = rollout.stage
        if stage is Stage.COMPLETED:
            return True
        if not self.may_expose(rollout, stage):
            return False
        now = self.clock()
        draw = job.version_draw
        if draw.send == job.send_count:
            return draw.is_new and now - draw.drawn_at < DRAW_SECONDS
        draw.send = job.send_count
        draw.drawn_at = now
        draw.is_new = self.draw(job, rollout, endpoints, now)
        return draw.is_new

    def may_expose(self, rollout: Rollout, stage: Stage | None) -> bool:
        """Return whether an undecided version may get requests now."""
        if stage is None or stage.is_final or rollout.stopped:
            return False
        if self.clock() - rollout.seen_at > rollout.order.seconds:
            return False
        return self.registry.is_running(rollout)

    def draw(
        self,
        job: Job,
        rollout: Rollout,
        endpoints: list[Endpoint],
        now: float,
    ) -> bool:
        """Draw the version of a request, within the budget of this node."""
        stage = rollout.stage or Stage.FIRST
        budget = rollout.counts.budget
        old = len(old_endpoints(rollout, endpoints))
        canaries = sum(
            endpoint.identity not in job.excluded_endpoints
            for endpoint in self.new_endpoints(rollout, endpoints)
        )
        if not canaries or not budget.allows(FRACTIONS[stage]):
            return False
        probability = draw_probability(
            stage, canaries, old, budget.share, now - rollout.seen_at
        )
        return self.random.random() < probability

    def new_endpoints(
        self, rollout: Rollout, endpoints: Iterable[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints of the new version that may get requests.

        Before all requests move these are few, the same at all nodes.
        """
        stage = rollout.stage or Stage.FIRST
        version = rollout.order.version
        found = [each for each in endpoints if each.record.version == version]
        if stage >= Stage.SHIFTING:
            return found
        old = len(old_endpoints(rollout, endpoints))
        share = rollout.counts.share * FRACTIONS[stage]
        now = self.clock()
        found.sort(key=lambda each: canary_order(each, now))
        return found[: count_canaries(old, len(found), share)]

    def admit(self, job: Job, endpoint: Endpoint) -> bool:
        """Count a send if the version of its endpoint may get it.

        The stage may have changed since the request was placed.
        """
        rollout = self.registry.rollouts.get(job.service.name)
        if rollout is None or rollout.withdrawn:
            return True
        draw = job.version_draw
        budget = rollout.counts.budget
        budget.sent += not draw.is_counted
        draw.is_counted = True
        version = endpoint.record.version
        if not self.may_receive(rollout, version):
            return False
        draw.sent_at = self.clock()
        draw.version = version
        budget.sent_new += version == rollout.order.version
        return True

    def may_receive(self, rollout: Rollout, version: Version) -> bool:
        """Return whether a version may get one more request of this node."""
        stage = rollout.stage
        if version == rollout.order.version:
            if stage is Stage.COMPLETED:
                return True
            is_within = rollout.counts.budget.allows(1)
            return is_within and self.may_expose(rollout, stage)
        return stage is not Stage.COMPLETED and (
            version not in rollout.barred()
        )


def is_pinned(job: Job, rollout: Rollout) -> bool:
    """Return whether a stream must resume at the version that began it.

    Once the roll-out is decided, the other endpoints get no requests, and the
    stream resumes at the version that serves.
    """
    if not job.send_count or not job.resume_after:
        return False
    return rollout.stage in {Stage.FIRST, Stage.SECOND, Stage.THIRD}


def canary_order(endpoint: Endpoint, now: float) -> tuple[bool, int]:
    """Return the sort key by which new endpoints are chosen, warm ones first."""
    is_cold = now < endpoint.cold_until
    return is_cold, xxh3_64_intdigest(endpoint.identity.encode())


def old_endpoints(
    rollout: Rollout, endpoints: Iterable[Endpoint]
) -> list[Endpoint]:
    """Return the endpoints of other versions than the ordered one."""
    excluded = (rollout.order.version, *rollout.barred())
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.record.version not in excluded
    ]
