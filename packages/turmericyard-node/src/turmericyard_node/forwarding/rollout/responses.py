"""Counts the responses of both versions while one is rolled out."""

from dataclasses import dataclass

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.rollout.counts import STOP_BAD
from turmericyard_node.forwarding.rollout.registry import (
    Rollout,
    RolloutRegistry,
)
from turmericyard_node.forwarding.runs import Run
from turmericyard_ports.configuration import RepeatPolicy
from turmericyard_protocol.fleet_messages import RolloutCount

#: Events of a stream whose time is compared, besides that of the first event.
PACE_EVENTS = 16


@dataclass(slots=True)
class ResponseCounter:
    """Counts the responses that this node gets, by route and version."""

    registry: RolloutRegistry
    clock: Clock

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
        if is_new and not rollout.stopped:
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
        if rollout.counts.budget.sent_new < STOP_BAD:
            return
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
