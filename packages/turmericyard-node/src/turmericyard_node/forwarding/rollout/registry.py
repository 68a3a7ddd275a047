"""The orders of roll-outs, and their stages as this node knows them."""

from dataclasses import dataclass, field

from msgspec.structs import replace
from returns.result import Success

from turmericyard_clients.store import Change
from turmericyard_decisions.rollout_stage import Stage
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.rollout.counts import NodeCounts
from turmericyard_node.forwarding.rollout.stored import (
    STATE_PREFIX,
    StoredRollout,
    barred_after,
    read_stored,
)
from turmericyard_ports.border import StoreItemReader
from turmericyard_ports.rollout import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Version,
)
from turmericyard_ports.settings import Bounds


@dataclass(slots=True, eq=False)
class Rollout:
    """An order and the furthest state of its roll-out.

    `saw_order` tells whether this process saw the order arrive. One that did
    not may have had an earlier process that used its part of the slack.
    `stopped` is set when this node itself finds the version bad.
    """

    order: RolloutOrder
    revision: int
    era: int
    seen_at: float
    counts: NodeCounts
    saw_order: bool
    stored: StoredRollout | None = None
    withdrawn: bool = False
    stopped: bool = False

    @property
    def stage(self) -> Stage | None:
        """Return the stage in force, None before the first."""
        if self.stored is None:
            return None
        if self.withdrawn and self.stored.stage is not Stage.COMPLETED:
            return Stage.ROLLED_BACK
        return self.stored.stage

    def is_open(self) -> bool:
        """Return whether the roll-out is not decided."""
        return self.stage is None or not self.stage.is_final

    def barred(self) -> tuple[Version, ...]:
        """Return the versions of earlier orders that get nothing."""
        return self.stored.barred if self.stored else ()

    def adopt(self, stored: StoredRollout, slack: float) -> bool:
        """Apply a state of this order; return whether it is further.

        A store that was restored from a copy may show an earlier state.
        """
        if stored.order != self.revision:
            return False
        if self.stored and stored.stage <= self.stored.stage:
            return False
        self.stored = stored
        if self.saw_order:
            self.counts.budget.slack = slack / max(1, stored.nodes)
        return True


@dataclass(slots=True)
class RolloutRegistry:
    """Roll-outs by service; `observe` is called with each store change.

    `latest` are the states in the store, also those of other orders.
    """

    reader: StoreItemReader
    platform_state: PlatformState
    bounds: Bounds
    clock: Clock
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    latest: dict[str, StoredRollout] = field(default_factory=dict)
    statuses: dict[str, RolloutStatus] = field(default_factory=dict)

    def observe(self, change: Change) -> None:
        """Apply a change of an order, a state or a status."""
        service = self.reader.rollout_service(change.key)
        if service is None and change.key.startswith(STATE_PREFIX):
            self.observe_state(change)
        elif service is None:
            self.observe_status(change)
        else:
            self.observe_order(service, change)

    def observe_order(self, service: str, change: Change) -> None:
        """Apply a new, changed or withdrawn order."""
        if change.value is None:
            self.withdraw(service)
            return
        read = self.reader.read_rollout_order(change.key, change.value)
        if not isinstance(read, Success):
            log_event(Event.ROLLOUT_INVALID, message=read.failure())
            self.withdraw(service)
            return
        order: RolloutOrder = read.unwrap()
        known = self.rollouts.get(service)
        if known is not None and is_same_order(known, order, change):
            known.withdrawn = False
            return
        rollout = Rollout(
            order,
            change.revision,
            change.era,
            self.clock(),
            NodeCounts(self.bounds.exposure_share),
            self.platform_state.view.position != (0, 0),
        )
        self.rollouts[service] = rollout
        log_event(
            Event.ROLLOUT_ORDERED,
            service=service,
            to=order.version,
            seconds=order.seconds,
            revision=change.revision,
        )
        stored = self.latest.get(service)
        if stored is not None:
            rollout.adopt(
                completed_before(stored, rollout) or stored,
                self.bounds.exposure_slack,
            )

    def withdraw(self, service: str) -> None:
        """Mark a roll-out whose order is gone as withdrawn."""
        known = self.rollouts.get(service)
        if known is None or known.withdrawn:
            return
        known.withdrawn = True
        log_event(
            Event.ROLLOUT_WITHDRAWN, service=service, to=known.order.version
        )

    def observe_state(self, change: Change) -> None:
        """Apply the state of a roll-out in the store."""
        service = change.key.removeprefix(STATE_PREFIX)
        stored = read_stored(change.value) if change.value else None
        if stored is None:
            self.latest.pop(service, None)
            return
        self.latest[service] = stored
        rollout = self.rollouts.get(service)
        if rollout and rollout.adopt(stored, self.bounds.exposure_slack):
            log_event(
                Event.ROLLOUT_STAGE,
                service=service,
                to=stored.version,
                stage=stored.stage.name.lower(),
                reason=stored.reason,
            )

    def observe_status(self, change: Change) -> None:
        """Apply the status of a roll-out in the store."""
        status = None
        if change.value is not None:
            status = self.reader.read_rollout_status(change.key, change.value)
        if status is not None:
            self.statuses[status.service] = status
            return
        for service in tuple(self.statuses):
            if self.reader.rollout_status_key(service) == change.key:
                self.statuses.pop(service)

    def is_running(self, rollout: Rollout) -> bool:
        """Return whether the platform is told that a roll-out is running."""
        status = self.statuses.get(rollout.order.service)
        return (
            status is not None
            and status.state is RolloutState.RUNNING
            and status.version == rollout.order.version
        )

    def barred(self, service: str) -> tuple[Version, ...]:
        """Return the versions that get nothing at a service without an order."""
        return barred_after(self.latest.get(service))


def completed_before(
    stored: StoredRollout, rollout: Rollout
) -> StoredRollout | None:
    """Return the state of an order whose version was completed before.

    There are no other endpoints any more, so that no decision is awaited.
    """
    if stored.stage is not Stage.COMPLETED:
        return None
    if stored.version != rollout.order.version:
        return None
    return replace(stored, order=rollout.revision)


def is_same_order(known: Rollout, order: RolloutOrder, change: Change) -> bool:
    """Return whether a change repeats an order.

    The operators may write it again after the store was restored from a copy.
    """
    if known.order != order:
        return False
    is_rewritten = known.era != change.era and known.is_open()
    return known.revision == change.revision or is_rewritten
