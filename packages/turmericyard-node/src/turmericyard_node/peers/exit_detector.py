"""Detects peers' processes that have certainly exited.

Two observations are needed. First, the TCP stream of a link that this node
dialled ended in an orderly way without a close frame: a running node sends a
close frame before it closes, and a firewall can reset a stream but cannot end
it in an orderly way. Second, a new connection to the peer was refused,
which shows that the listener of the process is gone as well.
"""

from dataclasses import dataclass, field

from turmericyard_node.events import Event, log_event

#: Maximum incarnations kept; their slots are reassigned within seconds.
MAX_EXITED_INCARNATIONS = 1024


@dataclass(slots=True)
class ExitDetector:
    """Suspected peers, and the incarnations whose process has exited.

    `suspects` maps a node to the incarnation whose stream ended without a
    close frame. `exited_at` maps an incarnation to the time in seconds of the
    second observation.
    """

    suspects: dict[str, str] = field(default_factory=dict)
    exited_at: dict[str, float] = field(default_factory=dict)

    def stream_ended(self, node: str, incarnation: str) -> None:
        """Record that a link's stream ended without a close frame."""
        self.suspects[node] = incarnation

    def connection_accepted(self, node: str) -> None:
        """Record that a peer accepted a connection; clears the suspicion."""
        self.suspects.pop(node, None)

    def connection_refused(self, node: str, now: float) -> None:
        """Record that a peer refused a connection; a suspect has exited."""
        incarnation = self.suspects.pop(node, None)
        if incarnation is not None:
            self.exited_at[incarnation] = now
            if len(self.exited_at) > MAX_EXITED_INCARNATIONS:
                self.exited_at.pop(next(iter(self.exited_at)))
            log_event(Event.PEER_ENDED, peer=node, incarnation=incarnation)

    def exited_before(self, moment: float) -> frozenset[str]:
        """Return the incarnations known by `moment` to have exited."""
        return frozenset(
            incarnation
            for incarnation, seen_at in self.exited_at.items()
            if seen_at <= moment
        )
