"""The hub's side: keeps what nodes run and tells all of them what changed.

Any node is a hub for those that beat to it. Updates carry a sequence number;
a node that missed one asks for everything with its next beat. What the nodes
run is not told on: they ask a hub for places.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

import curio
from msgspec.structs import replace
from returns.result import Success

from turmericyard_clients.store import Change
from turmericyard_http.clock import Clock
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.contact import Contact
from turmericyard_node.forwarding.answers import FleetEvidence
from turmericyard_node.forwarding.findings import FindingBook, create_findings
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_node.forwarding.load_book import NOTHING, Total
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_protocol.codec import encode
from turmericyard_protocol.fleet_messages import (
    EndpointUse,
    Findings,
    FleetBeat,
    HubUpdate,
    StoreItem,
)

#: Time between two updates, in seconds.
UPDATE_SECONDS = 0.2
#: Looks, an update's time apart, after which an update has reached its nodes.
SETTLED_LOOKS = 3
#: A node counts as live for this time after its last beat, in seconds.
LIVE_SECONDS = 1.8
#: How long an update may take to be handed over, in seconds.
SEND_SECONDS = 0.3
MILLISECONDS = 1000
#: How long a place that was given counts here: the node tells of the run as
#: soon as it has the place.
GRANT_SECONDS = 0.25
#: Nothing was found out by answers.
NO_FINDINGS = Findings()
#: A store that never answered, in seconds.
LONGEST_AGE_SECONDS = 3600.0


@dataclass(slots=True)
class Hub:
    """What this node knows as a hub; `heard` has each node's last beat.

    `others` are the sums by endpoint of what those nodes run, and of places
    given that they have not told of yet.
    """

    mesh: PeerMesh
    contact: Contact
    knowledge: Knowledge
    clock: Clock
    evidence: FleetEvidence
    findings: FindingBook
    heard: dict[str, tuple[float, FleetBeat]] = field(default_factory=dict)
    others: dict[str, Total] = field(default_factory=dict)
    #: Grows with each update; starts above that of any process before.
    sequence: int = 0
    #: The sequence at the last looks, the oldest first.
    sequences: deque[int] = field(
        default_factory=partial(deque, maxlen=SETTLED_LOOKS)
    )
    #: Nodes to which an update could not be sent.
    missed: set[str] = field(default_factory=set)
    #: Revision of the store up to which nodes were told.
    revision: int = 0
    members: tuple[tuple[str, bool], ...] = ()
    items: list[StoreItem] = field(default_factory=list)
    #: Places given, until the nodes' beats tell of them.
    granted: deque[tuple[float, EndpointUse]] = field(default_factory=deque)

    def observe(self, change: Change) -> None:
        """Keep a change of the store for the next update."""
        self.items.append(StoreItem(change.key, change.value, change.revision))

    def take(self, node: str, zone: str, beat: FleetBeat) -> None:
        """Take in what a node of a zone tells."""
        self.forget(node)
        self.heard[node] = (self.clock(), beat)
        self.count(beat.use, 1)
        self.evidence.take(node, zone, beat.answers)

    def forget(self, node: str) -> None:
        """Count what a node told no more."""
        _, beat = self.heard.pop(node, (0, None))
        if beat is not None:
            self.count(beat.use, -1)

    def count(self, uses: Iterable[EndpointUse], times: int) -> None:
        """Add uses to the sums, or take them off with -1 times."""
        for use in uses:
            total = self.others.setdefault(use.identity, Total())
            total.count(use, times)
            if total == NOTHING:
                self.others.pop(use.identity)

    def answer(self, node: str, zone: str, beat: FleetBeat) -> HubUpdate:
        """Return the reply to a beat: all when the node missed something.

        Updates of the last moment may still be under way to it.
        """
        self.take(node, zone, beat)
        missed = node in self.missed or beat.sequence < self.settled()
        if missed or beat.sequence > self.sequence:
            self.missed.discard(node)
            return self.whole()
        nothing_new = self.update(whole=False, members=(), aside=None, items=())
        return replace(nothing_new, sequence=beat.sequence, revision=0)

    def settled(self) -> int:
        """Return the sequence that every node must have by now."""
        return self.sequences[0] if self.sequences else self.sequence

    def whole(self) -> HubUpdate:
        """Return everything that the hub knows."""
        return self.update(
            whole=True,
            members=self.members,
            aside=self.evidence.told_aside,
            items=tuple(
                StoreItem(entry.key, entry.value, entry.revision)
                for entry in self.knowledge.view.items.values()
            ),
            findings=self.findings.everything(),
        )

    def told_revision(self) -> int:
        """Return the revision up to which every change was told."""
        return self.revision if self.items else self.knowledge.view.revision

    def update(
        self,
        *,
        whole: bool,
        members: tuple[tuple[str, bool], ...],
        aside: tuple[tuple[str, str], ...] | None,
        items: tuple[StoreItem, ...],
        findings: Findings = NO_FINDINGS,
    ) -> HubUpdate:
        """Return an update with the state of the store."""
        now = self.clock()
        age = min(now - self.contact.store_at, LONGEST_AGE_SECONDS)
        return HubUpdate(
            self.sequence,
            whole,
            members,
            aside,
            self.knowledge.view.revision if whole else self.told_revision(),
            int(age * MILLISECONDS),
            self.knowledge.book.has_failed(now),
            items,
            findings,
        )

    def start(self) -> None:
        """Begin to count updates."""
        self.sequence = int(self.clock() * MILLISECONDS)
        self.sequences.clear()

    async def run(self) -> None:
        """Send updates to the nodes that beat here until cancelled."""
        while True:
            await sleep_to_tick(UPDATE_SECONDS)
            self.sequences.append(self.sequence)
            self.forget_silent()
            await self.push()

    async def run_news(self) -> None:
        """Send changes of the store at once."""
        while True:
            await self.findings.wake_hub.wait()
            self.findings.wake_hub.clear()
            if self.items or self.findings.has_pending():
                await self.push()

    async def push(self) -> None:
        """Send what changed since the last update, if anything did."""
        members = self.changed_members()
        items = tuple(self.items)
        self.items.clear()
        self.revision = self.knowledge.view.revision
        aside = self.evidence.changed_aside()
        findings = self.findings.take_pending()
        changed = members or items or aside is not None
        if not changed and findings == NO_FINDINGS:
            return
        self.sequence += 1
        update = self.update(
            whole=False,
            members=members,
            aside=aside,
            items=items,
            findings=findings,
        )
        missed = self.heard.keys() & self.missed
        frame = encode(update)
        everything = encode(self.whole()) if missed else frame
        self.missed -= missed
        async with curio.TaskGroup() as group:
            for node in tuple(self.heard):
                told = everything if node in missed else frame
                await group.spawn(self.send, node, told)

    async def send(self, node: str, frame: bytes) -> None:
        """Send an update that was encoded once for all nodes.

        A node that does not take it gets everything with the next update or
        the next beat, whichever comes first.
        """
        try:
            async with curio.timeout_after(SEND_SECONDS):
                sent = await self.mesh.send_frame(node, frame)
        except curio.TaskTimeout:
            self.missed.add(node)
            await self.mesh.drop(node)
            return
        if not isinstance(sent, Success):
            self.missed.add(node)

    def grant(self, use: EndpointUse) -> None:
        """Count a place that was given to another node."""
        self.granted.append((self.clock() + GRANT_SECONDS, use))
        self.count((use,), 1)

    def expire_grants(self) -> None:
        """Count places no more that the nodes tell of by now."""
        now = self.clock()
        while self.granted and self.granted[0][0] < now:
            _, use = self.granted.popleft()
            self.count((use,), -1)

    def changed_members(self) -> tuple[tuple[str, bool], ...]:
        """Return all live members if any of them changed."""
        now = tuple(
            sorted(
                (node, beat.taking) for node, (_, beat) in self.heard.items()
            )
        )
        if now == self.members:
            return ()
        self.members = now
        return now

    def forget_silent(self) -> None:
        """Forget nodes whose beats have stopped."""
        oldest = self.clock() - LIVE_SECONDS
        for node, (at, _) in tuple(self.heard.items()):
            if at < oldest:
                self.forget(node)
                self.missed.discard(node)


def create_hub(
    mesh: PeerMesh,
    contact: Contact,
    knowledge: Knowledge,
    clock: Clock,
    evidence: FleetEvidence,
) -> Hub:
    """Return a hub that has heard nothing yet."""
    return Hub(
        mesh,
        contact,
        knowledge,
        clock,
        evidence,
        create_findings(knowledge, clock),
    )
