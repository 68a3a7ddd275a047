"""The memory account of a process: what it holds for its clients."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Kind(Enum):
    """What the bytes of an account are held for."""

    BODIES = 'bodies'
    CONNECTIONS = 'connections'
    RESPONSES = 'responses'
    #: Input and output that the system holds for connections.
    SYSTEM = 'system'
    #: Bodies of endpoints' answers that are being read.
    ENDPOINTS = 'endpoints'


class Reason(Enum):
    """Why a client was rejected or its connection closed."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    SLOW_HEAD = 'slow head'
    SLOW_BODY = 'slow body'
    BUFFERS = 'buffers'
    UNREAD_RESPONSE = 'unread response'
    DESCRIPTORS = 'descriptors'
    #: The body of an endpoint's answer was given up, not a client.
    ENDPOINT_BODY = 'endpoint body'


def ignore_rejection(reason: Reason) -> None:
    """Do nothing about a rejection."""


@dataclass(slots=True)
class MemoryAccount:
    """Counts bytes by kind; `bound` 0 is no bound.

    `bodies` are those with a reservation; `observe` is told of each rejection.
    """

    bound: int = 0
    total: int = 0
    used: Counter[Kind] = field(default_factory=Counter)
    rejections: Counter[Reason] = field(default_factory=Counter)
    bodies: dict[Any, None] = field(default_factory=dict)
    observe: Callable[[Reason], None] = ignore_rejection

    def has_room(self, size: int, spare: int = 0) -> bool:
        """Return whether bytes fit and leave `spare` bytes free."""
        return not self.bound or self.total + size + spare <= self.bound

    def take(self, kind: Kind, size: int) -> None:
        """Count bytes that are held; a negative size gives some back."""
        self.used[kind] += size
        self.total += size

    def reserve(self, kind: Kind, size: int) -> bool:
        """Count bytes if they fit; return whether they do."""
        fits = self.has_room(size)
        if fits:
            self.take(kind, size)
        return fits

    def replace(self, kind: Kind, size: int) -> None:
        """Set the bytes of a kind."""
        self.take(kind, size - self.used[kind])

    def reject(self, reason: Reason) -> None:
        """Count a rejection."""
        self.rejections[reason] += 1
        self.observe(reason)
