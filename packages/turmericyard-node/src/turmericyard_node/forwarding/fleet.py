"""A node's exchange of state with its hubs and its answers as a hub.

Every node sends heartbeats to the same few hubs, so that the number of messages
grows with the number of nodes and not with its square. A hub that does not
answer is not chosen for a while; without any hub, the node relies on the store
and on its own state.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

import curio

from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.balancing.endpoint_paces import EndpointPaces
from turmericyard_node.forwarding.endpoint_evidence import AnswerTally
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.hub import MILLISECONDS, Hub
from turmericyard_node.forwarding.hub_choice import (
    STALE_SECONDS,
    HubChoice,
    HubReport,
)
from turmericyard_node.forwarding.load_tracker import LoadTracker
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.store_items import (
    encode_items,
    read_changes,
    read_entries,
)
from turmericyard_node.members import Member, Membership
from turmericyard_node.peers.mesh import PeerMesh, is_linked
from turmericyard_node.peers.tunnel import TunnelServer
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    EndpointUse,
    FleetBeat,
    HubUpdate,
    PlaceEnd,
    PlaceReply,
    PlaceRequest,
    RolloutCount,
    ViewItemsReply,
    ViewItemsRequest,
)

#: Interval of heartbeats, in seconds.
HEARTBEAT_SECONDS = 0.5
#: Time limit for a hub's reply or for sending to a hub, in seconds.
REPLY_SECONDS = 0.5


@dataclass(slots=True)
class Fleet:
    """This node's membership of the fleet.

    `is_ready` says whether clients may send requests to this node.
    """

    membership: Membership
    contact: ContactTimes
    mesh: PeerMesh
    platform_state: PlatformState
    loads: LoadTracker
    tally: AnswerTally
    hub: Hub
    hub_choice: HubChoice
    clock: Clock
    paths: EndpointPaths
    tunnels: TunnelServer
    is_ready: Callable[[], bool]
    paces: EndpointPaces
    #: Choose places for generations and copies of other nodes.
    place_for_peer: Callable[[PlaceRequest], Endpoint | None] | None = None
    end_place: Callable[[str, str], None] | None = None
    copy_place_for_peer: (
        Callable[[CopyPlaceRequest], Endpoint | None] | None
    ) = None
    #: Tells one process of this node from the next.
    started: int = 0
    #: Whether the view of another node is on its way.
    is_fetching: bool = False
    #: Return this node's counts for roll-outs, and record those of a node.
    rollout_counts: Callable[[], tuple[RolloutCount, ...]] = tuple
    record_rollouts: Callable[[str, FleetBeat], None] | None = None

    @property
    def own(self) -> Member:
        """Return the record of this node."""
        return self.membership.own

    def size(self) -> int:
        """Return the number of members, at least this one."""
        return max(1, len(self.membership.members))

    def live_members(self) -> dict[str, bool]:
        """Return the other live nodes and whether each accepts clients."""
        found = {
            node: heartbeat.taking
            for node, (_, heartbeat) in self.hub.last_heartbeats.items()
        }
        report = self.hub_choice.current_report()
        if report is not None and not self.hub_choice.is_hub():
            found = dict(report.members)
        for node in self.hub_choice.reports:
            found.setdefault(node, True)
        found.pop(self.own.node, None)
        return found

    def addresses(self, zone: str) -> list[str]:
        """Return the client addresses of nodes that accept requests.

        Returns only those in the client's zone when it has at least two.
        """
        members = self.membership.members
        accepting = [
            members[node]
            for node, taking in self.live_members().items()
            if taking and node in members
        ]
        if self.is_ready():
            accepting.append(self.own)
        same_zone = [member for member in accepting if member.zone == zone]
        chosen = same_zone if len(same_zone) > 1 else accepting
        return [member.caller_address for member in chosen]

    def create_heartbeat(self, hub: str) -> FleetBeat:
        """Return a heartbeat for a hub."""
        report = self.hub_choice.reports.get(hub)
        return FleetBeat(
            report.sequence if report else 0,
            self.platform_state.view.revision,
            self.is_ready(),
            self.loads.to_messages(),
            self.tally.to_messages(),
            self.hub.findings.recent(),
            self.platform_state.view.era,
            self.paths.is_cut_off,
            self.paces.report(hub),
            rollouts=self.rollout_counts(),
            started=self.started,
        )

    async def run_beats(self) -> None:
        """Send heartbeats to the hubs until cancelled."""
        self.hub.start()
        while True:
            self.hub_choice.choose()
            async with curio.TaskGroup() as group:
                for node in self.hub_choice.other_hubs():
                    await group.spawn(self.exchange_heartbeat, node)
            self.hub.expire_grants()
            answers = self.tally.to_messages()
            if not self.paths.is_cut_off:
                self.hub.evidence.record(self.own.node, self.own.zone, answers)
            self.platform_state.registry.expire(self.clock())
            await sleep_to_tick(HEARTBEAT_SECONDS)

    async def exchange_heartbeat(self, node: str) -> None:
        """Send a heartbeat to a hub and apply its reply.

        Without a reply on a link that was used before, the hub is asked once
        more on a new one: links fall silent while their peers live.
        """
        is_used_link = is_linked(self.mesh, node)
        if await send_heartbeat(self, node):
            return
        await self.mesh.drop(node)
        if is_used_link and await send_heartbeat(self, node):
            log_event(Event.LINK_REPLACED, peer=node)
            return
        self.contact.record_peer_failure(node, self.clock())
        log_event(Event.HUB_EXCLUDED, peer=node)
        self.hub_choice.exclude(node)
        await self.mesh.drop(node)

    async def run_notices(self) -> None:
        """Send heartbeats at once when requested, until cancelled."""
        while True:
            await self.loads.changed.wait()
            self.loads.changed.clear()
            for node in self.hub_choice.other_hubs():
                async with curio.ignore_after(REPLY_SECONDS):
                    await self.mesh.send(node, self.create_heartbeat(node))

    async def apply_update(self, node: str, update: HubUpdate) -> None:
        """Apply an update of a hub; after a gap, request the full state.

        The reply to a heartbeat repeats the sequence of the heartbeat, and may
        arrive after later updates. An update after a gap is applied, but the
        view stays at its revision.
        """
        report = self.hub_choice.reports.setdefault(node, HubReport())
        report.received_at = self.clock()
        report.store_age = update.store_age_ms / MILLISECONDS
        report.store_failed = update.trouble
        self.platform_state.registry.answers.record(
            report.received_at - report.store_age
        )
        await self.hub.findings.receive(update.findings)
        if not update.whole and update.sequence > report.sequence + 1:
            report.sequence = 0
            with self.platform_state.receiving_from(node):
                self.platform_state.view.apply(0, read_changes(update.items))
            await self.platform_state.flush()
            return
        if update.whole:
            report.sequence = update.sequence
        report.sequence = max(report.sequence, update.sequence)
        if update.members:
            report.members = dict(update.members)
        if update.aside is not None:
            report.ejections = frozenset(update.aside)
        if update.cut_off is not None:
            report.cut_off = frozenset(update.cut_off)
        if report.store_age < STALE_SECONDS:
            self.contact.record_store_contact(
                report.received_at - report.store_age
            )
        with self.platform_state.receiving_from(node):
            self.apply_items(update)
        await self.platform_state.flush()

    def apply_items(self, update: HubUpdate) -> None:
        """Apply the store items of an update to the view."""
        view = self.platform_state.view
        if update.whole:
            view.replace(
                update.revision, read_entries(update.items), update.era
            )
            return
        view.apply(update.revision, read_changes(update.items), update.era)

    async def fetch_view(self, node: str) -> None:
        """Replace the view by that of a node that has a newer one.

        One at a time: many nodes may report newer ones at the same moment.
        """
        if self.is_fetching:
            return
        self.is_fetching = True
        try:
            await replace_view(self, node)
        finally:
            self.is_fetching = False

    @singledispatchmethod
    async def answer(self, payload: Any, sender: str) -> Any:
        """Return the reply to a message; None for unknown ones."""

    @answer.register
    async def answer_heartbeat(
        self, payload: FleetBeat, sender: str
    ) -> HubUpdate:
        """Return the reply of this hub to a heartbeat."""
        update = self.hub.answer(
            sender, self.membership.zone_of(sender), payload
        )
        self.paces.receive(sender, payload.paces)
        if self.record_rollouts is not None:
            self.record_rollouts(sender, payload)
        await self.hub.findings.receive(payload.findings)
        stale = (
            self.clock() - self.contact.last_store_contact_at > STALE_SECONDS
        )
        position = (payload.era, payload.revision)
        if stale and position > self.platform_state.view.position:
            await self.fetch_view(sender)
        return update

    @answer.register
    async def answer_update(self, payload: HubUpdate, sender: str) -> None:
        """Apply an update of a hub."""
        if sender in self.hub_choice.reports:
            await self.apply_update(sender, payload)

    @answer.register
    async def answer_place(
        self, payload: PlaceRequest, _sender: str
    ) -> PlaceReply:
        """Return the place of another node's generation."""
        self.hub.expire_grants()
        endpoint = self.place_for_peer(payload) if self.place_for_peer else None
        if endpoint is None:
            return PlaceReply('')
        self.hub.grant(
            EndpointUse(
                endpoint.identity,
                1,
                payload.prompt_tokens,
                payload.tokens,
                payload.prompt_tokens,
                0,
            )
        )
        endpoint.cold_rate.spend(self.clock())
        endpoint.request_rate.spend()
        return PlaceReply(endpoint.identity)

    @answer.register
    async def answer_place_end(self, payload: PlaceEnd, _sender: str) -> None:
        """Count a placed request no more."""
        if self.end_place is not None:
            self.end_place(payload.endpoint, payload.attempt)

    @answer.register
    async def answer_copy_place(
        self, payload: CopyPlaceRequest, _sender: str
    ) -> PlaceReply:
        """Return the place of another node's copy."""
        self.hub.expire_grants()
        endpoint = (
            self.copy_place_for_peer(payload)
            if self.copy_place_for_peer
            else None
        )
        if endpoint is None:
            return PlaceReply('')
        use = EndpointUse(endpoint.identity, 0, 0, 0, 0, payload.tokens)
        self.hub.grant(use)
        return PlaceReply(endpoint.identity)

    @answer.register
    async def answer_view(
        self, payload: ViewItemsRequest, sender: str
    ) -> ViewItemsReply:
        """Return this node's view when it is newer than the sender's."""
        view = self.platform_state.view
        if view.position <= (payload.era, payload.after):
            return ViewItemsReply(0, ())
        items = encode_items(view.items.values())
        return ViewItemsReply(view.revision, items, view.era)


async def send_heartbeat(fleet: Fleet, hub: str) -> bool:
    """Send one heartbeat to a hub and apply the reply; return if it came."""
    sent_at = fleet.clock()
    update = None
    async with curio.ignore_after(REPLY_SECONDS):
        reply = await fleet.mesh.request(
            hub, fleet.create_heartbeat(hub), REPLY_SECONDS
        )
        update = reply.value_or(None)
    if not isinstance(update, HubUpdate):
        return False
    fleet.contact.record_peer_contact(hub, sent_at)
    await fleet.apply_update(hub, update)
    return True


async def replace_view(fleet: Fleet, node: str) -> None:
    """Ask a node for its view and apply it if it is newer."""
    era, revision = fleet.platform_state.view.position
    reply = await fleet.mesh.request(node, ViewItemsRequest(revision, era))
    received = reply.value_or(None)
    if isinstance(received, ViewItemsReply) and received.revision:
        with fleet.platform_state.receiving_from(node):
            fleet.platform_state.view.replace(
                received.revision,
                read_entries(received.items),
                received.era,
            )
        await fleet.platform_state.flush()
