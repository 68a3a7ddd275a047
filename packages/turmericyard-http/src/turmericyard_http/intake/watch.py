"""Ends connections that are too slow or hold too much.

One task looks at all connections a few times a second, so that a request costs
no time limit of its own.
"""

import socket as system_socket
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import curio
from msgspec import Struct

from turmericyard_http.clock import Clock, boot_seconds
from turmericyard_http.intake.account import Kind, MemoryAccount, Reason
from turmericyard_http.intake.gate import Intake

#: Linux's socket option for the memory that a socket takes, and its layout: the
#: fields of the input and of the output that is queued, among nine.
SO_MEMINFO: Final = 55
MEMINFO: Final = struct.Struct('=I20xI8x')
INTERVAL_SECONDS: Final = 0.5
#: A body that gets fewer bytes a second makes no progress. A client on the
#: slowest link (5 Mbit/s) sends 300 times as fast.
SLOWEST_BYTES_PER_SECOND: Final = 2048
#: Time without progress after which a body is discarded for others, in seconds.
SLOW_SECONDS: Final = 1.0


class Observation(Struct, frozen=True):
    """What was seen of a connection when it last made progress."""

    phase: str
    requests: int
    since: float
    received: int


@dataclass(slots=True)
class ConnectionWatch:
    """Watches the connections of some listeners with one account.

    `other_sockets` returns sockets whose queues count as well: those of servers
    that send faster than clients read.
    """

    account: MemoryAccount
    intakes: Iterable[Intake]
    clock: Clock = boot_seconds
    other_sockets: Callable[[], list[Any]] = list
    seen: dict[Any, Observation] = field(default_factory=dict)

    async def run(self) -> None:
        """Look at all connections again and again, until cancelled."""
        while True:
            await curio.sleep(INTERVAL_SECONDS)
            await self.look()

    async def look(self) -> None:
        """End the connections that break a limit."""
        now = self.clock()
        seen = {}
        buffered = []
        for intake in self.intakes:
            for connection in tuple(intake.connections):
                seen[connection] = await self.observe(intake, connection, now)
                if self.account.bound:
                    buffered.append(
                        (buffered_bytes(connection.sock), connection)
                    )
        self.seen = seen
        await self.bound_buffers(buffered)

    async def observe(
        self, intake: Intake, connection: Any, now: float
    ) -> Observation:
        """Compare a connection with what was seen before."""
        phase = connection.phase
        received = connection.input.received
        known = self.seen.get(connection)
        if known is None or (known.phase, known.requests) != (
            phase,
            connection.requests,
        ):
            return Observation(phase, connection.requests, now, received)
        seconds = now - known.since
        limits = intake.limits
        if phase == 'head' and 0 < limits.head_seconds < seconds:
            await connection.abort(Reason.SLOW_HEAD)
        if phase != 'body':
            return known
        progress = received - known.received
        if progress >= max(1, SLOWEST_BYTES_PER_SECOND * seconds):
            mark_slow(connection, is_slow=False)
            return Observation(phase, connection.requests, now, received)
        mark_slow(connection, is_slow=seconds >= SLOW_SECONDS)
        if 0 < limits.stall_seconds < seconds:
            await connection.abort(Reason.SLOW_BODY)
        return known

    async def bound_buffers(self, buffered: list[tuple[int, Any]]) -> None:
        """Count the queues of sockets; over the bound, end the longest."""
        total = sum(size for size, _ in buffered)
        if self.account.bound:
            total += sum(map(buffered_bytes, self.other_sockets()))
        self.account.replace(Kind.SYSTEM, total)
        if self.account.has_room(0):
            return
        buffered.sort(key=rank, reverse=True)
        for size, connection in buffered:
            if not size or self.account.has_room(0):
                return
            await connection.abort(Reason.BUFFERS)
            self.account.take(Kind.SYSTEM, -size)


def mark_slow(connection: Any, *, is_slow: bool) -> None:
    """Note whether the body of a connection may be discarded for others."""
    if connection.body is not None:
        connection.body.is_slow = is_slow


def rank(pair: tuple[int, Any]) -> tuple[bool, int]:
    """Return the sort key: bodies have a reservation and are ended last."""
    size, connection = pair
    return connection.phase != 'body', size


def buffered_bytes(sock: Any) -> int:
    """Return the memory of a socket's queues, 0 when it is closed.

    It is more than the bytes in them, most of all for small segments.
    """
    try:
        found = sock.getsockopt(
            system_socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size
        )
    except OSError:
        return 0
    return sum(MEMINFO.unpack(found)) if len(found) == MEMINFO.size else 0
