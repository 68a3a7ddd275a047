"""When the store and the peers last answered this node.

A contact is dated at the time at which the answered request was sent, so that
an answer that waited while the process was paused does not count as recent.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from turmericyard_decisions.liveness import GossipEntry, merge_gossip
from turmericyard_node.events import Event, log_event


@dataclass(slots=True)
class ContactTimes:
    """Times of the last contacts, in seconds of the boot clock.

    A node that reaches neither the store nor any peer for
    `isolation_seconds` may have missed that a zone was taken out of service:
    it is isolated and takes no new work. A peer counts as live for
    `peer_timeout_seconds` after its last contact with this node or, by gossip,
    with another peer.
    """

    isolation_seconds: float
    last_store_contact_at: float
    peer_timeout_seconds: float
    peer_contact_times: dict[str, float] = field(default_factory=dict)
    store_up: bool = True
    last_peer_contact_at: float = float('-inf')

    def record_store_contact(self, asked_at: float) -> None:
        """Record an answer of the store."""
        self.last_store_contact_at = max(self.last_store_contact_at, asked_at)
        if not self.store_up:
            self.store_up = True
            log_event(Event.STORE_AVAILABLE)

    def record_store_failure(self, message: str) -> None:
        """Record a failed call to the store."""
        if self.store_up:
            self.store_up = False
            log_event(Event.STORE_UNAVAILABLE, message=message)

    def record_peer_contact(self, node: str, asked_at: float) -> None:
        """Record an answer of a peer."""
        if node not in self.peer_contact_times:
            log_event(Event.PEER_HEARD, peer=node)
        self.peer_contact_times[node] = asked_at
        self.last_peer_contact_at = max(self.last_peer_contact_at, asked_at)

    def record_gossip(self, gossip: Sequence[GossipEntry], at: float) -> None:
        """Merge a peer's gossip about its contacts with other peers."""
        merge_gossip(self.peer_contact_times, gossip, at)

    def record_peer_failure(self, node: str, now: float) -> None:
        """Record that a peer did not answer; remove it when it is not live."""
        if node in self.peer_contact_times and not self.has_recent_contact(
            node, now
        ):
            self.peer_contact_times.pop(node)
            log_event(Event.PEER_LOST, peer=node)

    def has_recent_contact(self, node: str, now: float) -> bool:
        """Return whether the last contact with the peer is recent enough."""
        last_contact_at = self.peer_contact_times.get(node)
        return (
            last_contact_at is not None
            and now - last_contact_at < self.peer_timeout_seconds
        )

    def is_isolated(self, now: float) -> bool:
        """Return whether there was no recent contact with store or peers."""
        latest = max(self.last_store_contact_at, self.last_peer_contact_at)
        return now - latest > self.isolation_seconds
