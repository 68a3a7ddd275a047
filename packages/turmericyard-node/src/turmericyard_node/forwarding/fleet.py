"""The other nodes: who lives, what each runs, and news that the store misses.

Every node sends a beat to every other one; a new run is told at once, so that
nodes that choose at the same moment see each other's choice.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.contact import Contact
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_node.forwarding.load_book import LoadBook
from turmericyard_node.members import Member, Membership
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_platform.store import Entry
from turmericyard_protocol.messages import (
    FleetBeat,
    ViewItemsReply,
    ViewItemsRequest,
)

BEAT_SECONDS = 0.5
#: A peer counts as live for this time after its last answer, in seconds.
LIVE_SECONDS = 1.8
REPLY_SECONDS = 0.6
#: Time between two notices of new runs, in seconds.
NOTICE_SECONDS = 0.02
#: A view is fetched from a peer when the store was silent this long.
STALE_SECONDS = 0.7


@dataclass(slots=True)
class Fleet:
    """This node among its peers; `taking` says whether clients may come."""

    membership: Membership
    contact: Contact
    mesh: PeerMesh
    knowledge: Knowledge
    loads: LoadBook
    clock: Clock
    is_ready: Callable[[], bool]
    taking: dict[str, bool] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)

    @property
    def own(self) -> Member:
        """Return the record of this node."""
        return self.membership.own

    def peers(self) -> list[str]:
        """Return the names of the other members."""
        return [
            node for node in self.membership.members if node != self.own.node
        ]

    def live_peers(self) -> list[str]:
        """Return the names of the other members that are heard."""
        now = self.clock()
        return [node for node in self.peers() if self.contact.hears(node, now)]

    def size(self) -> int:
        """Return the number of members, at least this one."""
        return max(1, len(self.membership.members))

    def addresses(self, zone: str) -> list[str]:
        """Return the client addresses of nodes that take requests.

        Those of the asker's zone alone when there are at least two.
        """
        found = [
            self.membership.members[node]
            for node in self.live_peers()
            if self.taking.get(node, False)
        ]
        if self.is_ready():
            found.append(self.own)
        near = [member for member in found if member.zone == zone]
        chosen = near if len(near) > 1 else found
        return [member.caller_address for member in chosen]

    def beat(self) -> FleetBeat:
        """Return what this node says of itself."""
        return FleetBeat(
            self.knowledge.view.revision, self.is_ready(), self.loads.told()
        )

    async def run_beats(self) -> None:
        """Exchange beats with all peers until cancelled."""
        while True:
            async with curio.TaskGroup() as group:
                for node in self.peers():
                    await group.spawn(self.exchange, node)
            await sleep_to_tick(BEAT_SECONDS)

    async def exchange(self, node: str) -> None:
        """Send a beat and take in the peer's."""
        asked_at = self.clock()
        reply = await self.mesh.request(node, self.beat(), REPLY_SECONDS)
        if isinstance(reply, Success) and isinstance(reply.unwrap(), FleetBeat):
            self.contact.heard_peer(node, asked_at)
            self.observe_beat(node, reply.unwrap())
            return
        self.contact.missed_peer(node, self.clock())
        await self.mesh.drop(node)
        if not self.contact.hears(node, self.clock()):
            self.loads.forget_peer(node)

    def observe_beat(self, node: str, beat: FleetBeat) -> None:
        """Take over a peer's news."""
        self.taking[node] = beat.taking
        self.revisions[node] = beat.revision
        self.loads.observe_peer(node, beat.use)

    async def run_notices(self) -> None:
        """Tell peers of new runs soon after they begin."""
        while True:
            await curio.sleep(NOTICE_SECONDS)
            if self.loads.changed:
                self.loads.changed = False
                await self.tell()

    async def tell(self) -> None:
        """Send a beat to all live peers without waiting for replies."""
        beat = self.beat()
        for node in self.live_peers():
            await self.mesh.send(node, beat)

    async def run_repairs(self) -> None:
        """Fetch from peers what the store did not tell."""
        while True:
            await sleep_to_tick(BEAT_SECONDS)
            if self.clock() - self.contact.store_at > STALE_SECONDS:
                await self.fetch_view()

    async def fetch_view(self) -> None:
        """Take over the newest view of a live peer."""
        known = self.knowledge.view.revision
        newer = [
            node
            for node in self.live_peers()
            if self.revisions.get(node, 0) > known
        ]
        if not newer:
            return
        node = max(newer, key=self.revisions.__getitem__)
        reply = await self.mesh.request(node, ViewItemsRequest(known))
        found = reply.value_or(None)
        if isinstance(found, ViewItemsReply) and found.revision:
            self.knowledge.view.replace(
                found.revision, [Entry(*item) for item in found.items]
            )

    async def receive(self, payload: Any, sender: str) -> Any:
        """Return the reply to a peer's message."""
        return self.answer(payload, sender)

    @singledispatchmethod
    def answer(self, payload: Any, sender: str) -> Any:
        """Return the reply to a message; None for unknown ones."""

    @answer.register
    def answer_beat(self, payload: FleetBeat, sender: str) -> FleetBeat:
        """Take in a beat and answer with the own."""
        self.observe_beat(sender, payload)
        return self.beat()

    @answer.register
    def answer_view(
        self, payload: ViewItemsRequest, sender: str
    ) -> ViewItemsReply:
        """Return the own view when it is newer than the asker's."""
        view = self.knowledge.view
        if view.revision <= payload.after:
            return ViewItemsReply(0, ())
        return ViewItemsReply(
            view.revision,
            tuple(
                (entry.key, entry.value, entry.revision)
                for entry in view.items.values()
            ),
        )
