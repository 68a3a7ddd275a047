"""When the store and the peers last answered this node.

A contact is dated at the time at which the answered request was sent, so that
an answer that waited while the process was paused does not count as recent.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from turmericyard_decisions.liveness import Rumour, apply_rumours
from turmericyard_node.events import Event, log_event


@dataclass(slots=True)
class Contact:
    """Times of the last contacts, in seconds of the boot clock.

    A node that reaches neither the store nor any peer for
    `isolation_seconds` may have missed that a zone was taken out of service:
    it is isolated and takes no new work. A peer counts as live for
    `horizon_seconds` after its last contact with this node or, by gossip, with
    another peer.
    """

    isolation_seconds: float
    last_store_contact_at: float
    horizon_seconds: float
    peers_at: dict[str, float] = field(default_factory=dict)
    store_up: bool = True
    last_peer_at: float = float('-inf')

    def heard_store(self, asked_at: float) -> None:
        """Record an answer of the store."""
        self.last_store_contact_at = max(self.last_store_contact_at, asked_at)
        if not self.store_up:
            self.store_up = True
            log_event(Event.STORE_AVAILABLE)

    def missed_store(self, message: str) -> None:
        """Record a failed call to the store."""
        if self.store_up:
            self.store_up = False
            log_event(Event.STORE_UNAVAILABLE, message=message)

    def heard_peer(self, node: str, asked_at: float) -> None:
        """Record an answer of a peer."""
        if node not in self.peers_at:
            log_event(Event.PEER_HEARD, peer=node)
        self.peers_at[node] = asked_at
        self.last_peer_at = max(self.last_peer_at, asked_at)

    def heard_rumours(self, rumours: Sequence[Rumour], at: float) -> None:
        """Merge the contact times that a peer gossips of other peers."""
        apply_rumours(self.peers_at, rumours, at)

    def missed_peer(self, node: str, now: float) -> None:
        """Record that a peer did not answer; remove it when it is not live."""
        if node in self.peers_at and not self.hears(node, now):
            self.peers_at.pop(node)
            log_event(Event.PEER_LOST, peer=node)

    def hears(self, node: str, now: float) -> bool:
        """Return whether the last contact with the peer is recent enough."""
        heard_at = self.peers_at.get(node)
        return heard_at is not None and now - heard_at < self.horizon_seconds

    def is_isolated(self, now: float) -> bool:
        """Return whether there was no recent contact with store or peers."""
        latest = max(self.last_store_contact_at, self.last_peer_at)
        return now - latest > self.isolation_seconds
