"""Sends one request to an endpoint, on a connection of its own.

Connections are not reused, so that a late answer to an earlier request, or a
connection that no longer transmits, cannot affect a later request.
"""

from contextlib import suppress
from dataclasses import dataclass

import curio
import h11
from returns.result import Failure, Result, Success

from turmericyard_http.connection import ClientConnection, Connect
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_http.messages import Headers
from turmericyard_http.response_bodies import BodyReading
from turmericyard_ports.request import IncomingRequest

OK = 200
MULTIPLE_CHOICES = 300
#: Header lines that tell where a body ends.
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
#: Time limit for connecting, in seconds.
CONNECT_SECONDS = 0.6
#: Time for which sent bytes may stay unacknowledged before the connection is
#: closed, in seconds.
USER_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header lines of an endpoint's answer."""

    status: int
    lines: Headers


@dataclass(slots=True, eq=False)
class EndpointResponse:
    """The answer of an endpoint, whose body is read as it arrives."""

    address: str
    connection: ClientConnection
    head: ResponseHead
    #: Bytes of the body that were read before the response was passed on.
    read_ahead: bytes = b''
    #: Bytes of an incomplete event, once there are any.
    incomplete: BodyReading | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success."""
        return OK <= self.head.status < MULTIPLE_CHOICES

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        names = {name for name, _ in self.head.lines}
        return names.isdisjoint(FRAMING_HEADERS)

    async def read(self) -> bytes:
        """Return the next bytes of the body, as `read_piece` does."""
        ahead = self.take_read_ahead()
        return ahead or await self.connection.read_piece()

    async def read_all(self) -> bytes:
        """Return the remaining body; raises as `read` does."""
        ahead = self.take_read_ahead()
        return ahead + await self.connection.read_rest()

    def take_read_ahead(self) -> bytes:
        """Return the bytes that were read before, once."""
        ahead = self.read_ahead
        self.read_ahead = b''
        return ahead

    def count_incomplete(self, size: int) -> None:
        """Count the bytes of an incomplete event that are held.

        Raises ResponseTooLong when they are too many with those of others.
        """
        if self.incomplete is None and size:
            self.incomplete = self.connection.bodies.begin()
        if self.incomplete is not None:
            self.connection.bodies.resize(self.incomplete, size)

    async def close(self) -> None:
        """Close the connection."""
        if self.incomplete is not None:
            self.connection.bodies.end(self.incomplete)
        await self.connection.close()


async def send_request(
    connect: Connect,
    address: str,
    incoming: IncomingRequest,
    lines: Headers,
    seconds: float,
    connect_seconds: float | None = None,
) -> Result[EndpointResponse, HttpError]:
    """Connect, send a request and return its response.

    `seconds` limits the exchange after connecting, which takes at most that
    time, `connect_seconds` or `CONNECT_SECONDS`, whichever is shortest.
    """
    connect_limit = min(seconds, connect_seconds or CONNECT_SECONDS)
    try:
        async with curio.timeout_after(min(connect_limit, CONNECT_SECONDS)):
            connection = await connect(address, USER_TIMEOUT_SECONDS)
    except curio.TaskTimeout:
        return Failure(NotSent(address, 'connect timeout'))
    except OSError as error:
        return Failure(NotSent(address, str(error)))
    return await exchange(address, connection, incoming, lines, seconds)


async def exchange(
    address: str,
    connection: ClientConnection,
    incoming: IncomingRequest,
    lines: Headers,
    seconds: float,
) -> Result[EndpointResponse, HttpError]:
    """Send a request on an open connection; close it on failure."""
    try:
        async with curio.timeout_after(seconds):
            answered = await connection.ask_lines(
                incoming.method, incoming.target, lines, incoming.body
            )
    except curio.TaskTimeout:
        await connection.close()
        return Failure(AnswerLost(address, 'timeout'))
    except (OSError, EOFError, h11.ProtocolError) as error:
        await connection.close()
        broken = not isinstance(error, h11.ProtocolError)
        return Failure(AnswerLost(address, repr(error), broken))
    except curio.CancelledError:
        with suppress(OSError):
            await connection.close()
        raise
    return Success(
        EndpointResponse(address, connection, ResponseHead(*answered))
    )
