"""Findings of this node, and those that it forwards as a hub."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

#: Time for which each heartbeat repeats an own finding, in seconds: longer than
#: a change of hubs takes.
REPEAT_SECONDS = 10.0

FindingT = TypeVar('FindingT')


@dataclass(slots=True)
class FindingLog(Generic[FindingT]):
    """Findings of one kind.

    `own` are the findings of this node with the time of each, `pending` those
    that this node sends as a hub with its next update.
    """

    clock: Callable[[], float]
    own: deque[tuple[float, FindingT]] = field(default_factory=deque)
    pending: list[FindingT] = field(default_factory=list)

    def add_own(self, finding: FindingT) -> None:
        """Add a finding of this node."""
        self.own.append((self.clock(), finding))
        self.pending.append(finding)

    def add_received(self, finding: FindingT) -> None:
        """Add a finding that another node sent."""
        self.pending.append(finding)

    def recent(self) -> tuple[FindingT, ...]:
        """Return the own findings that heartbeats still repeat."""
        oldest = self.clock() - REPEAT_SECONDS
        while self.own and self.own[0][0] < oldest:
            self.own.popleft()
        return tuple(finding for _, finding in self.own)

    def take_pending(self) -> tuple[FindingT, ...]:
        """Return the findings to forward and clear them."""
        pending = tuple(self.pending)
        self.pending.clear()
        return pending
