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
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.rollout.registry import (
    Rollout,
    RolloutRegistry,
)
from turmericyard_node.forwarding.runs import Run
from turmericyard_ports.configuration import RepeatPolicy
from turmericyard_ports.rollout import Version
from turmericyard_protocol.fleet_messages import RolloutCount

#: Time for which the drawn version holds, in seconds: a request that found no
#: endpoint of the new version within it goes to the old one.
DRAW_SECONDS = 0.03
#: Events of a stream whose time is compared, besides that of the first event.
PACE_EVENTS = 16


@dataclass(slots=True)
class RolloutFilter:
    """Draws the version of each request and counts the responses."""

    registry: RolloutRegistry
    platform_state: PlatformState
    clock: Clock
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
        draw.is_new = self.draw(rollout, endpoints, now)
        return draw.is_new

    def may_expose(self, rollout: Rollout, stage: Stage | None) -> bool:
        """Return whether an undecided version may get requests now."""
        if stage is None or stage.is_final or rollout.stopped:
            return False
        if self.clock() - rollout.seen_at > rollout.order.seconds:
            return False
        return self.registry.is_running(rollout)

    def draw(
        self, rollout: Rollout, endpoints: list[Endpoint], now: float
    ) -> bool:
        """Draw the version of a request, within the budget of this node."""
        stage = rollout.stage or Stage.FIRST
        budget = rollout.counts.budget
        old = len(old_endpoints(rollout, endpoints))
        canaries = len(self.new_endpoints(rollout, endpoints))
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
        found.sort(key=canary_order)
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

    def record(
        self, job: Job, endpoint: Endpoint, *, failed: bool = False
    ) -> None:
        """Count a response of an endpoint, by the time since it was sent."""
        rollout = self.registry.rollouts.get(job.service.name)
        if rollout is None or not rollout.is_open():
            return
        if failed and endpoint.leaving_since is not None:
            return
        is_new = endpoint.record.version == rollout.order.version
        seconds = None
        if not failed:
            seconds = self.clock() - job.version_draw.sent_at
        rollout.counts.record(job.route.name, seconds, is_new=is_new)
        if is_new and failed and not rollout.stopped:
            self.stop_if_bad(rollout)

    def record_head(
        self, job: Job, endpoint: Endpoint, *, is_valid: bool
    ) -> None:
        """Count a stream that did not begin; calls count when they end."""
        if job.route.kind is RepeatPolicy.STREAM and not is_valid:
            self.record(job, endpoint, failed=True)

    def record_events(self, run: Run) -> None:
        """Count the times of a stream's first event and of its next events.

        A stream that continues at another endpoint starts faster, and does
        not count.
        """
        if run.moves:
            return
        job = run.job
        if run.first_event_here_at == run.last_event_at:
            self.record(job, run.current_endpoint)
        elif (
            not job.version_draw.has_pace
            and run.event_joiner.delivered >= PACE_EVENTS
        ):
            job.version_draw.has_pace = True
            rollout = self.registry.rollouts.get(job.service.name)
            if rollout is not None and rollout.is_open():
                version = run.current_endpoint.record.version
                rollout.counts.record(
                    f'{job.route.name}, {PACE_EVENTS} events',
                    run.last_event_at - run.first_event_here_at,
                    is_new=version == rollout.order.version,
                )

    def record_break(self, run: Run) -> None:
        """Count a stream that broke."""
        self.record(run.job, run.current_endpoint, failed=True)

    def stop_if_bad(self, rollout: Rollout) -> None:
        """Stop sending to a version that is bad by this node's responses."""
        rollout.stopped = rollout.counts.must_stop(self.clock())
        if rollout.stopped:
            log_event(
                Event.ROLLOUT_STOPPED,
                service=rollout.order.service,
                to=rollout.order.version,
                reason=rollout.counts.comparison.evidence().describe(),
            )

    def to_messages(self) -> tuple[RolloutCount, ...]:
        """Return the counts of this node for a heartbeat."""
        now = self.clock()
        messages: list[RolloutCount] = []
        for service, rollout in self.registry.rollouts.items():
            if rollout.is_open():
                messages.extend(
                    rollout.counts.to_messages(
                        service, rollout.revision, now - rollout.seen_at
                    )
                )
        return tuple(messages)


def is_pinned(job: Job, rollout: Rollout) -> bool:
    """Return whether a stream must resume at the version that began it.

    Once the roll-out is decided, the other endpoints get no requests, and the
    stream resumes at the version that serves.
    """
    if not job.send_count or not job.resume_after:
        return False
    return rollout.stage in {Stage.FIRST, Stage.SECOND, Stage.THIRD}


def canary_order(endpoint: Endpoint) -> int:
    """Return the sort key by which the first new endpoints are chosen."""
    return xxh3_64_intdigest(endpoint.identity.encode())


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
