"""The body of one request, held within the memory account."""

from typing import Any, Final

from turmericyard_http.intake.account import Kind, MemoryAccount, Reason
from turmericyard_http.intake.refusals import BodyTooLong, NoRoom

#: Bodies up to this length, in bytes, are not counted: they arrive together
#: with the head and are part of what a connection is counted for.
UNCOUNTED_BYTES: Final = 16_384
#: Bodies up to this length, in bytes, may use the whole account; longer ones
#: leave a part free, so that they cannot shut ordinary requests out.
SMALL_BODY_BYTES: Final = 65_536
#: Part of the account that longer bodies leave free.
SPARE_DIVISOR: Final = 4
#: Times that a body is in memory at once: as received, and as it is sent on.
COPIES: Final = 2
#: Steps by which the reservation of a body without a length grows, in bytes.
STEP_BYTES: Final = 262_144


class Body:
    """A body that is being received.

    `is_slow` says that it is incomplete and may be discarded in favour of
    others, which calls `abort`.
    """

    __slots__ = ('abort', 'account', 'covered', 'data', 'is_slow', 'limit')

    def __init__(self, account: MemoryAccount, limit: int, abort: Any) -> None:
        self.account = account
        self.limit = limit
        self.abort = abort
        self.data = bytearray()
        #: Bytes of the body for which memory is reserved.
        self.covered = UNCOUNTED_BYTES
        self.is_slow = False

    async def expect(self, length: int) -> None:
        """Reserve memory for a length; raises BodyTooLong or NoRoom."""
        if length > self.limit:
            raise BodyTooLong
        if length > self.covered:
            await self.reserve(length)

    async def append(self, piece: bytes) -> None:
        """Add bytes; raises BodyTooLong or NoRoom."""
        length = len(self.data) + len(piece)
        if length > self.covered:
            if length > self.limit:
                raise BodyTooLong
            await self.reserve(min(self.limit, length + STEP_BYTES))
        self.data += piece

    async def reserve(self, length: int) -> None:
        """Reserve memory; discards slow bodies for it; raises NoRoom."""
        account = self.account
        # Bytes have arrived for it, so that it is not one of those to discard.
        self.is_slow = False
        size = COPIES * (length - self.covered)
        spare = 0
        if length > SMALL_BODY_BYTES:
            spare = account.bound // SPARE_DIVISOR
        if not account.has_room(size, spare):
            await discard_slow_bodies(account, size + spare)
        if not account.has_room(size, spare):
            account.reject(Reason.MEMORY)
            raise NoRoom
        account.take(Kind.BODIES, size)
        account.bodies[self] = None
        self.covered = length

    def complete(self) -> bytes:
        """Return the whole body, which stays reserved."""
        self.is_slow = False
        whole = bytes(self.data)
        self.data = bytearray()
        return whole

    def release(self) -> None:
        """Give the reservation back."""
        if self.covered > UNCOUNTED_BYTES:
            size = COPIES * (self.covered - UNCOUNTED_BYTES)
            self.account.take(Kind.BODIES, -size)
            self.account.bodies.pop(self, None)
            self.covered = UNCOUNTED_BYTES

    async def discard(self) -> None:
        """Free the memory at once and end the connection."""
        self.data = bytearray()
        self.release()
        await self.abort(Reason.MEMORY)


async def discard_slow_bodies(account: MemoryAccount, size: int) -> None:
    """Discard slow bodies, the longest reserved first, until bytes fit."""
    for body in tuple(account.bodies):
        if account.has_room(size):
            return
        if body.is_slow:
            await body.discard()
