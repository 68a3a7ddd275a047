"""One request on a connection of its own to an endpoint.

A new connection for each request: an answer that belongs to an earlier
request, or a connection that has gone silent, cannot meet a later one.
"""

from contextlib import suppress
from dataclasses import dataclass

import curio
import h11
from returns.result import Failure, Result, Success

from turmericyard_http.connection import ClientConnection, connect
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_http.messages import Headers
from turmericyard_ports.request import Arrival

OK = 200
REDIRECTED = 300
CONNECT_SECONDS = 0.6
#: How long bytes may stay unacknowledged before the connection is given up.
USER_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Head:
    """Status and header lines of an endpoint's answer."""

    status: int
    lines: Headers


@dataclass(slots=True, eq=False)
class Passage:
    """The answer of an endpoint as it arrives."""

    address: str
    connection: ClientConnection
    head: Head

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success."""
        return OK <= self.head.status < REDIRECTED

    async def read(self) -> bytes:
        """Return the next piece, as `ClientConnection.read_piece`."""
        return await self.connection.read_piece()

    async def read_all(self) -> bytes:
        """Return the rest of the body; raises as `read`."""
        return await self.connection.read_rest()

    async def close(self) -> None:
        """Close the connection."""
        await self.connection.close()


async def open_passage(
    address: str, arrival: Arrival, lines: Headers, seconds: float
) -> Result[Passage, HttpError]:
    """Send a request and return its answer's head within the time."""
    try:
        async with curio.timeout_after(min(seconds, CONNECT_SECONDS)):
            connection = await connect(address, USER_TIMEOUT_SECONDS)
    except curio.TaskTimeout:
        return Failure(NotSent(address, 'connect timeout'))
    except OSError as error:
        return Failure(NotSent(address, str(error)))
    return await exchange(address, connection, arrival, lines, seconds)


async def exchange(
    address: str,
    connection: ClientConnection,
    arrival: Arrival,
    lines: Headers,
    seconds: float,
) -> Result[Passage, HttpError]:
    """Send on an open connection; a failure closes it."""
    try:
        async with curio.timeout_after(seconds):
            answered = await connection.ask_lines(
                arrival.method, arrival.target, lines, arrival.body
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
    return Success(Passage(address, connection, Head(*answered)))
