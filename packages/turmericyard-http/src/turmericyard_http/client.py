"""HTTP/1.1 client of one address: pooled connections and streamed answers.

A connection whose exchange did not end well is closed and never reused, so
that a late answer cannot reach another request.
"""

from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TypeVar

import curio
import h11
from returns.result import Failure, Result, Success

from turmericyard_http.clock import boot_seconds
from turmericyard_http.connection import ClientConnection, connect
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_http.messages import Response

DEFAULT_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_SECONDS = 20.0
MAX_IDLE_CONNECTIONS = 64

AnswerT = TypeVar('AnswerT')

#: Says whether a request may still be sent.
Guard = Callable[[], bool]

EXCHANGE_ERRORS = (OSError, EOFError, h11.ProtocolError)


def always() -> bool:
    """Return that a request may be sent."""
    return True


@dataclass(slots=True)
class HttpClient:
    """Sends requests to one `host:port` over pooled connections."""

    address: str
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    clock: Callable[[], float] = boot_seconds
    #: How long sent bytes may stay unacknowledged; 0 leaves it to the system.
    user_timeout_seconds: float = 0
    idle: list[ClientConnection] = field(default_factory=list)

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
        fresh: bool = False,
        may_send: Guard = always,
    ) -> Result[Response, HttpError]:
        """Return the whole answer, or say whether the request was sent.

        `may_send` is asked immediately before the first byte.

        `fresh` takes a new connection, so that a pooled one that the peer
        is closing cannot turn a request that did not run into a lost answer.
        """
        opened = await self.acquire(fresh, may_send)
        if isinstance(opened, NotSent):
            return Failure(opened)
        answered = await self.exchange(
            opened,
            opened.send_request(method, target, headers, body),
            opened.read_response,
            timeout_seconds,
        )
        if isinstance(answered, Success):
            await self.release(opened)
        return answered

    async def open_stream(
        self,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
        may_send: Guard = always,
    ) -> Result['ClientStream', HttpError]:
        """Return the answer's head and a stream of its body.

        The time limit covers the head only. The caller closes the stream.
        `may_send` is asked immediately before the first byte.
        """
        opened = await self.acquire(fresh=True, may_send=may_send)
        if isinstance(opened, NotSent):
            return Failure(opened)
        answered = await self.exchange(
            opened,
            opened.send_request(method, target, headers, body),
            opened.read_head,
            timeout_seconds,
        )
        return answered.map(lambda head: ClientStream(*head, opened))

    async def exchange(
        self,
        connection: ClientConnection,
        sending: Awaitable[None],
        read: Callable[[], Awaitable[AnswerT]],
        timeout_seconds: float,
    ) -> Result[AnswerT, HttpError]:
        """Send and read within a time limit; a failure closes the connection."""
        try:
            async with curio.timeout_after(timeout_seconds):
                await sending
                return Success(await read())
        except curio.TaskTimeout:
            await connection.close()
            return Failure(AnswerLost(self.address, 'timeout'))
        except EXCHANGE_ERRORS as error:
            await connection.close()
            return Failure(AnswerLost(self.address, describe(error)))
        except curio.CancelledError:
            await connection.close()
            raise

    async def acquire(
        self, fresh: bool, may_send: Guard
    ) -> ClientConnection | NotSent:
        """Return a connection on which the request may be sent now."""
        connection = await self.find_connection(fresh)
        if isinstance(connection, NotSent) or may_send():
            return connection
        await connection.close()
        return NotSent(self.address, 'no longer valid when connected')

    async def find_connection(self, fresh: bool) -> ClientConnection | NotSent:
        """Return an idle or a new connection."""
        while self.idle and not fresh:
            pooled = self.idle.pop()
            if self.usable(pooled):
                return pooled
            await pooled.close()
        try:
            async with curio.timeout_after(self.connect_timeout_seconds):
                return await connect(self.address, self.user_timeout_seconds)
        except curio.TaskTimeout:
            return NotSent(self.address, 'connect timeout')
        except OSError as error:
            return NotSent(self.address, describe(error))

    def usable(self, connection: ClientConnection) -> bool:
        """Return whether an idle connection is young and still open."""
        age = self.clock() - connection.idle_since
        return age < MAX_IDLE_SECONDS and not connection.has_input()

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection that ended its exchange well, or close it."""
        if len(self.idle) < MAX_IDLE_CONNECTIONS and connection.recycle():
            connection.idle_since = self.clock()
            self.idle.append(connection)
        else:
            await connection.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            await self.idle.pop().close()


@dataclass(slots=True)
class ClientStream:
    """An answer whose body arrives piece by piece."""

    status: int
    headers: Mapping[str, str]
    connection: ClientConnection

    async def read(self) -> bytes:
        """Return the next piece, as `ClientConnection.read_piece`."""
        return await self.connection.read_piece()

    async def read_all(self, timeout_seconds: float) -> bytes:
        """Return the rest of the body; raises as `read` and TaskTimeout."""
        async with curio.timeout_after(timeout_seconds):
            return await self.connection.read_rest()

    async def abort(self) -> None:
        """Break the connection under a read that waits; it raises."""
        await self.connection.abort()

    async def close(self) -> None:
        """Close the connection; it is never reused."""
        with suppress(OSError):
            await self.connection.close()


def create_client(address: str) -> HttpClient:
    """Return a client of one `host:port`."""
    return HttpClient(address)


def describe(error: BaseException) -> str:
    """Return a short text of an exception for messages."""
    return str(error) or type(error).__name__
