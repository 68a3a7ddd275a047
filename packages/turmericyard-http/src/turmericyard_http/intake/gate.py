"""The bounds of one listener on its connections, and what they follow from."""

import errno
from dataclasses import dataclass, field
from typing import Any, Final

from msgspec import Struct

from turmericyard_http.intake.account import Kind, MemoryAccount, Reason

#: Errors of an accept that pass when descriptors or memory become free.
PASSING_ERRORS: Final = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
    )
)
#: Pause before the next accept after such an error, in seconds.
ACCEPT_PAUSE_SECONDS: Final = 0.1
#: Memory of a process apart from what it holds for clients. A node uses 35 MB
#: at rest and some 20 MB more for the metrics library and a large fleet.
RESERVED_BYTES: Final = 67_108_864
#: Descriptors of a process that the platform counts for files.
FILE_DESCRIPTORS: Final = 200
#: Objects of a connection and the input that is read ahead on it.
CONNECTION_BYTES: Final = 32_768
#: Share of the descriptors and of the memory that connections of clients take
#: at most; the others are for endpoints, peers and bodies.
CONNECTION_SHARE: Final = 0.5


class IntakeLimits(Struct, frozen=True):
    """Limits of one listener; 0 is no limit.

    The system uses up to twice `receive_buffer_bytes` for a connection.
    """

    connections: int = 0
    head_seconds: float = 0
    stall_seconds: float = 0
    receive_buffer_bytes: int = 0
    #: Whether idle connections may be closed for new ones: only where each
    #: request may be repeated.
    closes_idle: bool = False


@dataclass(slots=True)
class Intake:
    """Bounds of one listener, with the account of its process.

    `connections` are those that are open, the oldest first.
    """

    limits: IntakeLimits = field(default_factory=IntakeLimits)
    account: MemoryAccount = field(default_factory=MemoryAccount)
    connections: dict[Any, None] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Return whether one more connection exceeds the bound."""
        bound = self.limits.connections
        return bound > 0 and len(self.connections) >= bound

    async def make_room(self) -> bool:
        """End a connection that has sent no request; False without one."""
        for connection in self.connections:
            if connection.can_be_replaced(idle=self.limits.closes_idle):
                await connection.abort(Reason.CONNECTIONS)
                return True
        self.account.reject(Reason.CONNECTIONS)
        return False

    def add(self, connection: Any) -> None:
        """Count a connection."""
        self.connections[connection] = None
        self.account.take(Kind.CONNECTIONS, CONNECTION_BYTES)

    def remove(self, connection: Any) -> None:
        """Stop counting a connection."""
        if connection in self.connections:
            self.connections.pop(connection)
            self.account.take(Kind.CONNECTIONS, -CONNECTION_BYTES)


def account_bytes(memory_bytes: int) -> int:
    """Return what clients may take of a process's memory; 0 is no limit.

    Half of the memory of a small process is reserved.
    """
    return memory_bytes - min(RESERVED_BYTES, memory_bytes // 2)


def connection_bound(memory_bytes: int, descriptors: int) -> int:
    """Return how many connections clients may have; 0 is no limit."""
    bounds = []
    if memory_bytes:
        share = CONNECTION_SHARE * account_bytes(memory_bytes)
        bounds.append(int(share / CONNECTION_BYTES))
    if descriptors:
        free = descriptors - FILE_DESCRIPTORS
        bounds.append(max(1, int(CONNECTION_SHARE * free)))
    return min(bounds, default=0)
