"""Learns the speeds of engines from the streams of this node and its peers."""

from dataclasses import dataclass, field

from turmericyard_decisions.endpoint_speed import (
    USUAL_SPEED,
    LearnedSpeed,
    speed_of_events,
)
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.balancing.call_preferences import (
    CallPreferences,
)
from turmericyard_node.forwarding.balancing.gap_meter import GAPS
from turmericyard_node.forwarding.balancing.learning import learns, start_of
from turmericyard_node.forwarding.balancing.pace_reports import (
    MICROSECONDS,
    PaceReports,
    PaceSums,
    is_credible,
)
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.load_tracker import LoadTracker
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.runs import Run
from turmericyard_protocol.fleet_messages import EndpointPace

#: Least time between two log events of one kind, in seconds.
LOG_SECONDS = 10.0
#: Time for which a learned speed is used before it is computed again, in
#: seconds: with the time between two heartbeats a second at most.
FRESH_SECONDS = 0.5
#: Change of a speed since it was logged last from which it is logged again.
LOGGED_CHANGE = 1.25


@dataclass(slots=True)
class KnownSpeed:
    """A learned speed, as computed and as logged last."""

    learned: LearnedSpeed
    speed: float = USUAL_SPEED
    computed_at: float = float('-inf')
    logged: float = USUAL_SPEED
    logged_at: float = float('-inf')


@dataclass(slots=True)
class EndpointPaces:
    """Learned speeds of engines, by identity, and what is kept for the hubs.

    `calls` tells where calls to plain services go first.
    """

    platform_state: PlatformState
    loads: LoadTracker
    clock: Clock
    calls: CallPreferences
    speeds: dict[str, KnownSpeed] = field(default_factory=dict)
    reports: PaceReports = field(default_factory=PaceReports)
    #: Reports of peers that were ignored, for the metrics.
    refused: int = 0
    refusal_logged_at: float = float('-inf')

    async def observe_events(self, run: Run) -> None:
        """Record events of a stream that have just arrived."""
        if not learns(self.platform_state, run.job.service):
            return
        meter = run.gap_meter
        endpoint = run.current_endpoint
        now = self.clock()
        if not meter.has_begun():
            # The hub counts the prompt as unread until it is told otherwise.
            await self.loads.changed.set()
        gap = meter.observe(endpoint.identity, run.event_joiner.delivered, now)
        if gap:
            running = self.own_running(endpoint.identity)
            self.record(endpoint, PaceSums(GAPS, GAPS * gap, GAPS * running))

    def record(self, endpoint: Endpoint, sums: PaceSums) -> None:
        """Use an observation of this node and keep it for the hubs."""
        self.reports.add(endpoint.identity, sums)
        self.apply(endpoint, sums.to_message(endpoint.identity))

    def report(self, hub: str) -> tuple[EndpointPace, ...]:
        """Return the observations for a heartbeat to a hub."""
        table = self.platform_state.route_table
        if table is None or not table.resumable_services:
            return ()
        return self.reports.take(hub)

    def receive(self, node: str, paces: tuple[EndpointPace, ...]) -> None:
        """Use the observations of a peer; those that cannot be are ignored."""
        for pace in paces:
            if not is_credible(pace):
                self.refuse(node, pace)
                continue
            endpoint = self.platform_state.registry.endpoints.get(pace.identity)
            if endpoint is not None:
                self.apply(endpoint, pace)

    def refuse(self, node: str, pace: EndpointPace) -> None:
        """Count a report that is ignored, and log one from time to time."""
        self.refused += 1
        now = self.clock()
        if now - self.refusal_logged_at < LOG_SECONDS:
            return
        self.refusal_logged_at = now
        log_event(
            Event.PACE_REFUSED,
            node=node,
            endpoint=pace.identity,
            events=pace.events,
            event_us=pace.event_us,
            refused=self.refused,
            message='the figures are negative or absurd: upgrade that node',
        )

    def apply(self, endpoint: Endpoint, pace: EndpointPace) -> None:
        """Learn the speed of an engine from its events."""
        service = self.platform_state.service(endpoint.record.service)
        if not pace.events or not learns(self.platform_state, service):
            return
        running = max(
            pace.running / pace.events, self.running_at(endpoint.identity)
        )
        engine = service.engine if service else None
        speed = speed_of_events(
            pace.event_us / MICROSECONDS / pace.events,
            running,
            engine.tokens_per_event if engine else 0,
        )
        now = self.clock()
        self.known_speed(endpoint).learned.observe(pace.events, speed, now)

    def running_at(self, identity: str) -> int:
        """Return the generations of all known nodes at an engine."""
        total = self.loads.peer_totals.get(identity)
        own = self.own_running(identity)
        return own + (total.running if total else 0)

    def own_running(self, identity: str) -> int:
        """Return the generations of this node at an engine."""
        return sum(
            load.identity == identity and not load.lent
            for load in self.loads.own
        )

    def speed(self, endpoint: Endpoint) -> float:
        """Return the learned speed of an engine."""
        known = self.speeds.get(endpoint.identity)
        if known is None or known.learned.start != start_of(endpoint):
            return USUAL_SPEED
        now = self.clock()
        if now - known.computed_at >= FRESH_SECONDS:
            known.speed = known.learned.speed(now)
            known.computed_at = now
            self.log_speed(endpoint, known, now)
        return known.speed

    def log_speed(
        self, endpoint: Endpoint, known: KnownSpeed, now: float
    ) -> None:
        """Log a speed that differs from the one logged last."""
        change = max(known.speed / known.logged, known.logged / known.speed)
        if change < LOGGED_CHANGE or now - known.logged_at < LOG_SECONDS:
            return
        known.logged = known.speed
        known.logged_at = now
        log_event(
            Event.ENDPOINT_PACED,
            endpoint=endpoint.identity,
            speed=round(known.speed, 2),
            events=round(known.learned.weight(now)),
        )

    def known_speed(self, endpoint: Endpoint) -> KnownSpeed:
        """Return what is known of an engine's speed, empty after a restart."""
        start = start_of(endpoint)
        known = self.speeds.get(endpoint.identity)
        if known is None or known.learned.start != start:
            self.forget_removed()
            known = KnownSpeed(LearnedSpeed(start))
            self.speeds[endpoint.identity] = known
        return known

    def forget_removed(self) -> None:
        """Forget engines that have no record any more."""
        endpoints = self.platform_state.registry.endpoints
        for identity in tuple(self.speeds):
            if identity not in endpoints:
                self.speeds.pop(identity)

    def learned_speeds(self) -> dict[str, float]:
        """Return the learned speed of each observed engine."""
        endpoints = self.platform_state.registry.endpoints
        return {
            identity: self.speed(endpoints[identity])
            for identity in self.speeds
            if identity in endpoints
        }


def create_paces(
    platform_state: PlatformState, loads: LoadTracker, clock: Clock
) -> EndpointPaces:
    """Return the speeds of a node that has not observed any endpoint."""
    return EndpointPaces(
        platform_state, loads, clock, CallPreferences(platform_state, clock)
    )
