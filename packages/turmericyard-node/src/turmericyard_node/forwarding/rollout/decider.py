"""Advances roll-outs at the deciding hub, the first hub of the fleet.

Each change of stage is written on condition of the last revision, so that two
hubs that both decide for a moment continue from the same state.
"""

from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace
from returns.result import Success

from turmericyard_clients.store import Change, Store
from turmericyard_decisions.rollout_stage import Progress, Stage, next_stage
from turmericyard_decisions.version_comparison import VersionComparison
from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.load_tracker import NOTHING
from turmericyard_node.forwarding.rollout.filter import (
    RolloutFilter,
    old_endpoints,
)
from turmericyard_node.forwarding.rollout.ledger import (
    OrderCounts,
    RolloutLedger,
)
from turmericyard_node.forwarding.rollout.registry import (
    Rollout,
    RolloutRegistry,
)
from turmericyard_node.forwarding.rollout.stored import (
    STATE_PREFIX,
    StoredRollout,
    barred_after,
    encode_stored,
)
from turmericyard_ports.rollout import RolloutStatus
from turmericyard_protocol.fleet_messages import FleetBeat

#: Interval of the decisions, in seconds.
STEP_SECONDS = 0.2
#: Pause after a write that failed, in seconds: the store accepts few writes.
RETRY_SECONDS = 0.5
#: Time after which a new hub has the counts of all nodes, in seconds: three
#: heartbeats.
ALL_COUNTS_SECONDS = 1.5
#: Time for which all requests may move where there are none, in seconds.
IDLE_SPARE_SECONDS = 60.0


@dataclass(slots=True)
class RolloutDecider:
    """Decides on roll-outs while this node is the first hub."""

    registry: RolloutRegistry
    version_filter: RolloutFilter
    fleet: Fleet
    store: Store
    clock: Clock
    ledger: RolloutLedger = field(default_factory=RolloutLedger)
    comparisons: dict[tuple[str, int], VersionComparison] = field(
        default_factory=dict
    )
    #: When this node became the first hub, None while it is not.
    first_since: float | None = None
    #: When each roll-out's stage was first seen here.
    stages: dict[tuple[str, int], tuple[Stage, float]] = field(
        default_factory=dict
    )
    retry_at: float = 0
    #: Orders for which a finding was logged.
    unusable: set[tuple[str, int]] = field(default_factory=set)

    def record(self, node: str, heartbeat: FleetBeat) -> None:
        """Record the counts in a heartbeat of another node."""
        if heartbeat.rollouts:
            self.ledger.record(node, heartbeat, self.clock())

    async def run(self) -> None:
        """Decide at each interval until cancelled."""
        while True:
            await sleep_to_tick(STEP_SECONDS)
            if self.registry.rollouts:
                await self.step()

    async def step(self) -> None:
        """Compare the versions, and as the first hub advance each roll-out.

        The second hub compares them too, so that it can take over.
        """
        self.update_rank()
        if not self.fleet.hub_choice.is_hub():
            return
        rollouts = tuple(self.registry.rollouts.items())
        keys = {(service, each.revision) for service, each in rollouts}
        self.ledger.keep_only(keys)
        self.comparisons = {
            key: self.comparisons.get(key) or VersionComparison()
            for key in keys
        }
        for service, rollout in rollouts:
            if rollout.is_open():
                self.compare(service, rollout)
            if self.first_since is not None and self.clock() >= self.retry_at:
                await self.act(service, rollout)

    def update_rank(self) -> None:
        """Record whether this node is the first hub."""
        names = self.fleet.hub_choice.names
        if names[:1] != [self.fleet.own.node]:
            self.first_since = None
        elif self.first_since is None:
            self.first_since = self.clock()

    def compare(self, service: str, rollout: Rollout) -> None:
        """Apply the counts of all nodes to the tests of a roll-out."""
        now = self.clock()
        own = self.fleet.own.node
        for report in rollout.counts.to_messages(
            service, rollout.revision, now - rollout.seen_at
        ):
            self.ledger.record_report(own, 0, report, now)
        key = (service, rollout.revision)
        self.comparisons[key].observe(self.ledger.counts(key).totals(), now)

    async def act(self, service: str, rollout: Rollout) -> None:
        """Write the state and the status that follow now, if they changed."""
        target = self.target(service, rollout)
        if target is None:
            return
        known = self.registry.latest.get(service)
        if target != known:
            key = STATE_PREFIX + service
            if not await self.write(key, encode_stored(target)):
                return
        if self.registry.rollouts.get(service) is not rollout:
            return
        status = RolloutStatus(service, target.state, target.version)
        if self.registry.statuses.get(service) != status:
            reader = self.registry.reader
            await self.write(
                reader.rollout_status_key(service),
                reader.encode_rollout_status(status),
            )

    def target(self, service: str, rollout: Rollout) -> StoredRollout | None:
        """Return the state that the store must have, None for no change."""
        if rollout.stored is None:
            return self.first_state(service, rollout)
        if rollout.withdrawn:
            if rollout.stored.stage.is_final:
                return None
            return replace(
                rollout.stored, stage=Stage.ROLLED_BACK, reason='withdrawn'
            )
        key = (service, rollout.revision)
        evidence = self.comparisons[key].evidence()
        stage, reason = next_stage(self.progress(key, rollout), evidence)
        if stage is rollout.stored.stage:
            return rollout.stored
        return replace(rollout.stored, stage=stage, reason=reason)

    def first_state(
        self, service: str, rollout: Rollout
    ) -> StoredRollout | None:
        """Return the first state of an order, None while it cannot begin."""
        if rollout.withdrawn or not self.is_usable(service, rollout):
            return None
        previous = self.registry.latest.get(service)
        version = rollout.order.version
        is_done = (
            previous is not None
            and previous.stage is Stage.COMPLETED
            and previous.version == version
        )
        barred = barred_after(previous)
        return StoredRollout(
            rollout.revision,
            version,
            Stage.COMPLETED if is_done else Stage.FIRST,
            self.fleet.size(),
            tuple(each for each in barred if each != version),
            'completed by an earlier order' if is_done else 'ordered',
        )

    def is_usable(self, service: str, rollout: Rollout) -> bool:
        """Return whether a roll-out can begin; log once why it cannot."""
        detail = ''
        endpoints = self.version_filter.endpoints(service)
        if self.fleet.platform_state.service(service) is None:
            detail = 'the service is not in the configuration'
        elif not any(
            endpoint.record.version == rollout.order.version
            for endpoint in endpoints
        ):
            detail = 'no endpoint has the version'
        key = (service, rollout.revision)
        if detail and key not in self.unusable:
            self.unusable.add(key)
            log_event(
                Event.ROLLOUT_INVALID,
                message=(
                    f'{service}: {detail}; the roll-out begins when that changes'
                ),
            )
        return not detail

    def progress(self, key: tuple[str, int], rollout: Rollout) -> Progress:
        """Return how far a roll-out is."""
        now = self.clock()
        stage = rollout.stage or Stage.FIRST
        known, since = self.stages.get(key, (None, now))
        if known is not stage:
            since = now
            self.stages[key] = (stage, now)
        counts = self.ledger.counts(key)
        age = now - min(counts.began_at, rollout.seen_at)
        return Progress(
            stage,
            now - since,
            age,
            rollout.order.seconds,
            self.spare_seconds(counts, age),
            self.is_old_in_use(rollout),
            now - (self.first_since or now) >= ALL_COUNTS_SECONDS,
        )

    def spare_seconds(self, counts: OrderCounts, age: float) -> float:
        """Return how long all requests may go to the new version."""
        bounds = self.registry.bounds
        sent, sent_new = counts.sent()
        spare = bounds.exposure_share * sent + bounds.exposure_slack - sent_new
        if not sent or age <= 0:
            return IDLE_SPARE_SECONDS
        return spare * age / sent

    def is_old_in_use(self, rollout: Rollout) -> bool:
        """Return whether anything may run at old endpoints.

        Nodes do not report plain calls, so that those of engines only show it.
        """
        service = self.fleet.platform_state.service(rollout.order.service)
        if service is None or service.engine is None:
            return True
        own = self.fleet.loads.own_totals()
        peers = self.fleet.loads.peer_totals
        endpoints = self.fleet.platform_state.registry.endpoints.values()
        old = old_endpoints(
            rollout,
            [each for each in endpoints if each.record.service == service.name],
        )
        return any(
            own.get(each.identity, NOTHING).running
            or peers.get(each.identity, NOTHING).running
            for each in old
        )

    async def write(self, key: str, value: bytes) -> bool:
        """Write an item on condition of its known revision.

        The new value is in force here at once and goes to the other nodes.
        """
        view = self.fleet.platform_state.view
        known = view.items.get(key)
        expected = known.revision if known else 0
        written = await self.store.write(key, value, expected=expected)
        if isinstance(written, Success):
            await self.apply(Change(key, value, written.unwrap()))
            return True
        log_event(
            Event.ROLLOUT_NOT_WRITTEN,
            key=key,
            message=written.failure().message,
        )
        read = await self.store.read(key)
        entry: Any = read.value_or(None)
        if entry is not None:
            await self.apply(Change(key, entry.value, entry.revision))
            if entry.value == value:
                return True
        self.retry_at = self.clock() + RETRY_SECONDS
        return False

    async def apply(self, change: Change) -> None:
        """Apply a change that the store has to the view.

        In a new era the view has to be read anew, which the follower does.
        """
        platform_state = self.fleet.platform_state
        era = self.store.eras.latest
        if era == platform_state.view.era:
            moved = replace(change, era=era)
            platform_state.view.apply(0, [moved], era)
            await platform_state.flush()
