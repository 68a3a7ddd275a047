"""Memory of the response bodies that a process is reading.

A faulty server may send without end on many connections. The limit of a single
body does not bound them together.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from turmericyard_http.intake.account import Kind, MemoryAccount, Reason

#: Longest body that is kept in memory: pages of the platform's store, the
#: longest valid responses, have about 1 MB.
MAX_BODY_BYTES = 8_388_608
#: Limit of all bodies of a process whose memory is not known: four of the
#: longest.
DEFAULT_LIMIT_BYTES = 33_554_432
#: Share of a process's memory that bodies take together at most.
MEMORY_SHARE = 0.0625
#: Bodies up to this length are never given up: usual answers are shorter, and
#: their memory is bounded by the number of connections.
SHORT_BYTES = 65_536


class ResponseTooLong(EOFError):
    """The response exceeds a limit that no valid response reaches."""


@dataclass(slots=True, eq=False)
class BodyReading:
    """One body, or incomplete event, that is being read."""

    parts: bytearray = field(default_factory=bytearray)
    size: int = 0
    is_given_up: bool = False


@dataclass(slots=True)
class ResponseBodies:
    """The bodies that are being read, within a limit for all together.

    Over the limit, of `limit` bytes or of the account of the process, the
    longest one is given up if it is not short: that of a server that sends
    without end becomes the longest, so that those of other servers go on.
    """

    limit: int = DEFAULT_LIMIT_BYTES
    account: MemoryAccount = field(default_factory=MemoryAccount)
    used: int = 0
    readings: set[BodyReading] = field(default_factory=set)

    def begin(self) -> BodyReading:
        """Return the reading of one more body."""
        reading = BodyReading()
        self.readings.add(reading)
        return reading

    def resize(self, reading: BodyReading, size: int) -> None:
        """Set the bytes that a reading holds.

        Raises ResponseTooLong when the reading is given up.
        """
        if not reading.is_given_up:
            self.count(reading, size)
            self.make_room()
        if reading.is_given_up:
            raise ResponseTooLong(
                f'the bodies of all responses exceed {self.limit} bytes and'
                ' this one was the longest'
            )

    def make_room(self) -> None:
        """Give up the longest bodies while a limit is exceeded."""
        while self.used > self.limit or not self.account.has_room(0):
            longest = max(self.readings, key=size_of, default=None)
            if longest is None or longest.size <= SHORT_BYTES:
                return
            self.give_up(longest)

    def give_up(self, reading: BodyReading) -> None:
        """Free the memory of a reading, which fails with its next piece."""
        reading.is_given_up = True
        reading.parts.clear()
        self.account.reject(Reason.ENDPOINT_BODY)
        self.end(reading)

    def end(self, reading: BodyReading) -> None:
        """Stop counting a reading."""
        self.count(reading, 0)
        self.readings.discard(reading)

    def count(self, reading: BodyReading, size: int) -> None:
        """Count the bytes that a reading holds now."""
        added = size - reading.size
        reading.size = size
        self.used += added
        self.account.take(Kind.ENDPOINTS, added)

    async def read_all(self, read: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return all pieces up to an empty one, joined.

        Raises ResponseTooLong for more than `MAX_BODY_BYTES` and when the
        body is given up.
        """
        reading = self.begin()
        try:
            piece = await read()
            while piece:
                reading.parts += piece
                self.resize(reading, len(reading.parts))
                if reading.size > MAX_BODY_BYTES:
                    raise ResponseTooLong(
                        f'body longer than {MAX_BODY_BYTES} bytes'
                    )
                piece = await read()
            return bytes(reading.parts)
        finally:
            self.end(reading)


#: The bodies of connections to which no others are assigned.
PROCESS_BODIES = ResponseBodies()


def size_of(reading: BodyReading) -> int:
    """Return the bytes that a reading holds."""
    return reading.size


def create_bodies(memory_bytes: int, account: MemoryAccount) -> ResponseBodies:
    """Return bodies within the memory of a process, 0 where it is not known."""
    limit = int(memory_bytes * MEMORY_SHARE) or DEFAULT_LIMIT_BYTES
    return ResponseBodies(limit, account)
