"""The hub: collects heartbeats of nodes and sends them updates.

Any node is a hub for the nodes that send it heartbeats. Updates carry a
sequence number; a node that missed one requests the full state with its next
heartbeat. Updates do not carry what the nodes run: nodes ask a hub for places
instead.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

import curio
from msgspec.structs import replace
from returns.result import Success

from turmericyard_clients.store import Change, Position
from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.cut_off_nodes import CutOffNodes
from turmericyard_node.forwarding.delivery import UpdateDelivery
from turmericyard_node.forwarding.endpoint_evidence import FleetEvidence
from turmericyard_node.forwarding.findings import (
    FindingRegistry,
    create_findings,
)
from turmericyard_node.forwarding.load_tracker import NOTHING, LoadTotal
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.store_items import encode_items
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_protocol.codec import encode
from turmericyard_protocol.fleet_messages import (
    EndpointUse,
    Findings,
    FleetBeat,
    HubUpdate,
    StoreItem,
)

#: Interval of updates, in seconds.
UPDATE_SECONDS = 0.2
#: Update intervals after which an update has reached its nodes.
DELIVERY_TICKS = 3
#: Time after its last heartbeat for which a node counts as live, in seconds.
LIVE_SECONDS = 1.8
#: Time limit for sending an update to one node, in seconds.
SEND_SECONDS = 0.3
MILLISECONDS = 1000
#: Time for which a granted place counts here, in seconds: the node reports the
#: run as soon as it has the place.
GRANT_SECONDS = 0.25
#: An update without findings.
NO_FINDINGS = Findings()
#: Members, items, ejections, nodes that are cut off and findings of an update
#: that need not be sent.
UNCHANGED = ((), (), None, None, NO_FINDINGS)
#: Age reported for a store that never answered, in seconds.
MAX_STORE_AGE_SECONDS = 3600.0


@dataclass(slots=True)
class Hub:
    """State of this node as a hub.

    `last_heartbeats` has the time and content of each node's last heartbeat.
    `peer_totals` are the totals by endpoint of what those nodes run, including
    granted places that they have not reported yet.
    """

    mesh: PeerMesh
    contact: ContactTimes
    platform_state: PlatformState
    clock: Clock
    evidence: FleetEvidence
    findings: FindingRegistry
    last_heartbeats: dict[str, tuple[float, FleetBeat]] = field(
        default_factory=dict
    )
    peer_totals: dict[str, LoadTotal] = field(default_factory=dict)
    #: Grows with each update; starts above that of any earlier process.
    sequence: int = 0
    #: The sequence at the last update intervals, the oldest first.
    past_sequences: deque[int] = field(
        default_factory=partial(deque, maxlen=DELIVERY_TICKS)
    )
    #: Nodes to which an update could not be sent.
    outdated: set[str] = field(default_factory=set)
    delivery: UpdateDelivery = field(default_factory=UpdateDelivery)
    #: Position of the store up to which changes were sent to the nodes.
    position: Position = (0, 0)
    members: tuple[tuple[str, bool], ...] = ()
    cut_off_nodes: CutOffNodes = field(default_factory=CutOffNodes)
    #: The last change of each key since the last update.
    items: dict[str, StoreItem] = field(default_factory=dict)
    #: Granted places and the time at which each stops counting; by then the
    #: heartbeats of its node include it.
    open_grants: deque[tuple[float, EndpointUse]] = field(default_factory=deque)

    def observe(self, change: Change) -> None:
        """Queue a change of the store for the next update."""
        self.items.pop(change.key, None)
        self.items[change.key] = StoreItem(
            change.key, change.value, change.revision, change.era
        )

    def record_heartbeat(
        self, node: str, zone: str, heartbeat: FleetBeat
    ) -> None:
        """Record a heartbeat of a node of a zone."""
        self.forget(node)
        self.last_heartbeats[node] = (self.clock(), heartbeat)
        self.count(heartbeat.use, 1)
        if not heartbeat.cut_off:
            self.evidence.record(node, zone, heartbeat.answers)

    def forget(self, node: str) -> None:
        """Discard a node's last heartbeat and subtract its uses."""
        _, heartbeat = self.last_heartbeats.pop(node, (0, None))
        if heartbeat is not None:
            self.count(heartbeat.use, -1)

    def count(self, uses: Iterable[EndpointUse], times: int) -> None:
        """Add uses to the totals; `times` of -1 subtracts them."""
        for use in uses:
            total = self.peer_totals.setdefault(use.identity, LoadTotal())
            total.count(use, times)
            if total == NOTHING:
                self.peer_totals.pop(use.identity)

    def answer(self, node: str, zone: str, heartbeat: FleetBeat) -> HubUpdate:
        """Return the reply to a heartbeat: the full state after a missed update.

        A sequence that lags only by the latest updates does not count as
        missed, since those may still be on their way to the node.
        """
        self.record_heartbeat(node, zone, heartbeat)
        missed = (
            node in self.outdated
            or heartbeat.sequence < self.delivered_sequence()
        )
        if missed and heartbeat.sequence:
            self.delivery.record_missed(node, self.clock())
        if missed or heartbeat.sequence > self.sequence:
            self.outdated.discard(node)
            self.delivery.full_replies += 1
            return self.full_update()
        empty = self.update(whole=False, members=(), ejections=None, items=())
        return replace(empty, sequence=heartbeat.sequence, revision=0, era=0)

    def delivered_sequence(self) -> int:
        """Return the sequence that every node must have received by now."""
        return self.past_sequences[0] if self.past_sequences else self.sequence

    def full_update(self) -> HubUpdate:
        """Return an update with everything that the hub knows."""
        return self.update(
            whole=True,
            members=self.members,
            ejections=self.evidence.reported_ejections,
            items=encode_items(self.platform_state.view.items.values()),
            findings=self.findings.all_findings(),
            cut_off=self.cut_off_nodes.reported,
        )

    def update(
        self,
        *,
        whole: bool,
        members: tuple[tuple[str, bool], ...],
        ejections: tuple[tuple[str, str], ...] | None,
        items: tuple[StoreItem, ...],
        findings: Findings = NO_FINDINGS,
        cut_off: tuple[str, ...] | None = None,
    ) -> HubUpdate:
        """Return an update with the given content and the store's state."""
        now = self.clock()
        age = min(
            now - self.contact.last_store_contact_at, MAX_STORE_AGE_SECONDS
        )
        era, revision = (
            self.position
            if self.items and not whole
            else self.platform_state.view.position
        )
        return HubUpdate(
            self.sequence,
            whole,
            members,
            ejections,
            revision,
            int(age * MILLISECONDS),
            self.platform_state.registry.has_store_failed(now),
            items,
            findings,
            era,
            cut_off,
        )

    def start(self) -> None:
        """Set the first sequence, above that of any earlier process."""
        self.sequence = int(self.clock() * MILLISECONDS)
        self.past_sequences.clear()

    async def run(self) -> None:
        """Send updates at each interval until cancelled."""
        while True:
            await sleep_to_tick(UPDATE_SECONDS)
            self.past_sequences.append(self.sequence)
            self.forget_silent_nodes()
            await self.send_changes()

    async def run_news(self) -> None:
        """Send store changes and findings at once, until cancelled."""
        while True:
            await self.findings.update_wanted.wait()
            self.findings.update_wanted.clear()
            if self.items or self.findings.has_pending():
                await self.send_changes()

    async def send_changes(self) -> None:
        """Send what changed since the last update, if anything did."""
        members = self.changed_members()
        items = tuple(self.items.values())
        self.items.clear()
        is_same_era = self.position[0] == self.platform_state.view.era
        self.position = self.platform_state.view.position
        ejections = self.evidence.changed_ejections()
        findings = self.findings.take_pending()
        cut_off = self.cut_off_nodes.changed(
            node
            for node, (_, heartbeat) in self.last_heartbeats.items()
            if heartbeat.cut_off
        )
        news = (members, items, ejections, cut_off, findings)
        if is_same_era and news == UNCHANGED:
            return
        self.sequence += 1
        update = self.update(
            whole=False,
            members=members,
            ejections=ejections,
            items=items,
            findings=findings,
            cut_off=cut_off,
        )
        await self.send_to_all(encode(update))

    async def send_to_all(self, frame: bytes) -> None:
        """Send an update; nodes that missed one get the full state instead."""
        outdated = self.last_heartbeats.keys() & self.outdated
        full_frame = encode(self.full_update()) if outdated else frame
        self.outdated -= outdated
        async with curio.TaskGroup() as group:
            for node in tuple(self.last_heartbeats):
                payload = full_frame if node in outdated else frame
                await group.spawn(self.send, node, payload)

    async def send(self, node: str, frame: bytes) -> None:
        """Send a node an update that was encoded once for all nodes.

        After a failure the node gets the full state with the next update or in
        reply to its next heartbeat, whichever comes first.
        """
        if self.delivery.take_silent(node):
            log_event(Event.LINK_REPLACED, peer=node)
            await self.mesh.drop(node)
        try:
            async with curio.timeout_after(SEND_SECONDS):
                sent = await self.mesh.send_frame(node, frame)
        except curio.TaskTimeout:
            self.outdated.add(node)
            await self.mesh.drop(node)
            return
        if not isinstance(sent, Success):
            self.outdated.add(node)

    def grant(self, use: EndpointUse) -> None:
        """Add a place that was granted to another node to the totals."""
        self.open_grants.append((self.clock() + GRANT_SECONDS, use))
        self.count((use,), 1)

    def expire_grants(self) -> None:
        """Subtract granted places that heartbeats include by this time."""
        now = self.clock()
        while self.open_grants and self.open_grants[0][0] < now:
            _, use = self.open_grants.popleft()
            self.count((use,), -1)

    def changed_members(self) -> tuple[tuple[str, bool], ...]:
        """Return all live members if any of them changed, else none."""
        now = tuple(
            sorted(
                (node, heartbeat.taking)
                for node, (_, heartbeat) in self.last_heartbeats.items()
            )
        )
        if now == self.members:
            return ()
        self.members = now
        return now

    def forget_silent_nodes(self) -> None:
        """Forget nodes whose heartbeats have stopped."""
        oldest = self.clock() - LIVE_SECONDS
        for node, (at, _) in tuple(self.last_heartbeats.items()):
            if at < oldest:
                self.forget(node)
                self.outdated.discard(node)
                self.delivery.forget(node)


def create_hub(
    mesh: PeerMesh,
    contact: ContactTimes,
    platform_state: PlatformState,
    clock: Clock,
    evidence: FleetEvidence,
) -> Hub:
    """Return a hub that has received no heartbeat yet."""
    return Hub(
        mesh,
        contact,
        platform_state,
        clock,
        evidence,
        create_findings(platform_state, clock),
    )
