"""Which endpoints a node does not reach by itself, though its peers do.

A connection that fails says little: the endpoint may have ended, or the path to
it may be blocked. Only when a peer reaches the endpoint at the same time is it
the path. A node for which that holds at several endpoints, and which reached
none directly in between, counts as cut off from all of them.
"""

from dataclasses import dataclass, field

#: Pause between two direct attempts over a blocked path, in seconds. Paths are
#: tried again by requests, which then take a little longer.
ATTEMPT_SECONDS = 1.0
#: Endpoints with blocked paths from which a node counts as cut off.
CUT_OFF_ENDPOINTS = 2
#: Most blocked paths that are kept: those to all endpoints of a large fleet.
MAX_BLOCKED = 4096


@dataclass(slots=True)
class DirectPaths:
    """The blocked paths of one node, by the address of the endpoint.

    `blocked` has the time of the next direct attempt, `blocked_in_row` the
    paths that were found to be blocked since the last direct connection.
    """

    blocked: dict[str, float] = field(default_factory=dict)
    blocked_in_row: set[str] = field(default_factory=set)
    next_attempt_at: float = 0

    @property
    def is_cut_off(self) -> bool:
        """Return whether the node reaches no endpoint by itself."""
        return len(self.blocked_in_row) >= CUT_OFF_ENDPOINTS

    def may_attempt(self, address: str, now: float) -> bool:
        """Return whether to try the direct path now; a True counts as a try."""
        if self.is_cut_off:
            if now < self.next_attempt_at:
                return False
            self.next_attempt_at = now + ATTEMPT_SECONDS
            return True
        attempt_at = self.blocked.get(address)
        if attempt_at is None:
            return True
        if now < attempt_at:
            return False
        self.blocked[address] = now + ATTEMPT_SECONDS
        return True

    def record_connected(self, address: str) -> None:
        """Record a direct connection."""
        self.blocked.pop(address, None)
        self.blocked_in_row.clear()

    def record_blocked(self, address: str, now: float) -> None:
        """Record that a peer reached an endpoint that this node did not."""
        self.blocked.setdefault(address, now + ATTEMPT_SECONDS)
        if len(self.blocked) > MAX_BLOCKED:
            self.blocked.pop(next(iter(self.blocked)))
        if not self.is_cut_off:
            self.blocked_in_row.add(address)
            self.next_attempt_at = now + ATTEMPT_SECONDS
