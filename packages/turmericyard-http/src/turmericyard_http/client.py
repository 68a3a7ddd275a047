"""HTTP/1.1 client of one address: pooled connections, streamed responses.

A connection whose exchange failed is closed and never reused, so that a late
response cannot be taken for the response to another request. The idle ones are
closed with it: what made it fail, such as a router that lost its state, may
have made them silent too.
"""

from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TypeVar

import curio
import h11
from returns.result import Failure, Result, Success

from turmericyard_http.clock import boot_seconds
from turmericyard_http.connection import (
    ClientConnection,
    Connect,
    connect,
    has_input,
)
from turmericyard_http.errors import AnswerLost, HttpError, NotSent
from turmericyard_http.messages import Response

DEFAULT_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_SECONDS = 20.0
MAX_IDLE_CONNECTIONS = 64

ResultT = TypeVar('ResultT')

#: Returns whether a request may still be sent.
Guard = Callable[[], bool]

EXCHANGE_ERRORS = (OSError, EOFError, h11.ProtocolError)


def always() -> bool:
    """Return True: a request may always be sent."""
    return True


@dataclass(slots=True)
class HttpClient:
    """Sends requests to one `host:port` over pooled connections."""

    address: str
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    clock: Callable[[], float] = boot_seconds
    #: How long sent bytes may stay unacknowledged; 0 uses the system default.
    user_timeout_seconds: float = 0
    connect: Connect = connect
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
        """Return the complete response, or an error.

        The error is NotSent when no byte of the request was sent and
        AnswerLost when it may have run. `may_send` is called immediately
        before the first byte is sent.

        `fresh` opens a new connection. A pooled connection may be closed by
        the peer at the same moment; a request that did not run would then
        fail with AnswerLost.
        """
        connection = await self.acquire(fresh, may_send)
        if isinstance(connection, NotSent):
            return Failure(connection)
        outcome = await self.exchange(
            connection,
            connection.send_request(method, target, headers, body),
            connection.read_response,
            timeout_seconds,
        )
        if isinstance(outcome, Success):
            await self.release(connection)
        else:
            await self.close()
        return outcome

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
        """Return the head of the response and a stream of its body.

        The time limit covers the head only. The caller closes the stream.
        `may_send` is called immediately before the first byte is sent.
        """
        connection = await self.acquire(fresh=True, may_send=may_send)
        if isinstance(connection, NotSent):
            return Failure(connection)
        outcome = await self.exchange(
            connection,
            connection.send_request(method, target, headers, body),
            connection.read_head,
            timeout_seconds,
        )
        return outcome.map(lambda head: ClientStream(*head, connection))

    async def exchange(
        self,
        connection: ClientConnection,
        sending: Awaitable[None],
        read: Callable[[], Awaitable[ResultT]],
        timeout_seconds: float,
    ) -> Result[ResultT, HttpError]:
        """Send and read within a time limit; on failure, close the connection."""
        try:
            async with curio.timeout_after(timeout_seconds):
                await sending
                return Success(await read())
        except curio.TaskTimeout:
            detail = 'timeout'
        except EXCHANGE_ERRORS as error:
            detail = describe_error(error)
        except curio.CancelledError:
            await connection.close()
            raise
        await connection.close()
        reused = connection.idle_since is not None
        return Failure(AnswerLost(self.address, detail, reused=reused))

    async def acquire(
        self, fresh: bool, may_send: Guard
    ) -> ClientConnection | NotSent:
        """Return a connection on which the request may be sent now."""
        connection = await self.find_connection(fresh)
        if isinstance(connection, NotSent) or may_send():
            return connection
        await connection.close()
        return NotSent(self.address, 'request no longer valid once connected')

    async def find_connection(self, fresh: bool) -> ClientConnection | NotSent:
        """Return an idle connection that is usable, or else a new one."""
        while self.idle and not fresh:
            pooled = self.idle.pop()
            if self.is_usable(pooled):
                return pooled
            await pooled.close()
        try:
            async with curio.timeout_after(self.connect_timeout_seconds):
                return await self.connect(
                    self.address, self.user_timeout_seconds
                )
        except curio.TaskTimeout:
            return NotSent(self.address, 'connect timeout')
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            return NotSent(self.address, describe_error(error), refused)

    def is_usable(self, connection: ClientConnection) -> bool:
        """Return whether an idle connection is recent and still open."""
        idle_since = connection.idle_since
        if idle_since is None or self.clock() - idle_since >= MAX_IDLE_SECONDS:
            return False
        # Input is the end of the connection, or bytes that belong to no request.
        return not has_input(connection.sock)

    async def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
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
    """A response whose body is read in pieces."""

    status: int
    headers: Mapping[str, str]
    connection: ClientConnection

    async def read(self) -> bytes:
        """Return the next piece; see `ClientConnection.read_piece`."""
        return await self.connection.read_piece()

    async def read_all(self, timeout_seconds: float) -> bytes:
        """Return the rest of the body; raises as `read`, and TaskTimeout."""
        async with curio.timeout_after(timeout_seconds):
            return await self.connection.read_rest()

    async def abort(self) -> None:
        """Shut the connection down; a read that waits raises an error."""
        await self.connection.abort()

    async def close(self) -> None:
        """Close the connection; it is never reused."""
        with suppress(OSError):
            await self.connection.close()


def create_client(address: str) -> HttpClient:
    """Return a client of one `host:port`."""
    return HttpClient(address)


def describe_error(error: BaseException) -> str:
    """Return the text of an exception, or its class name when it has none."""
    return str(error) or type(error).__name__
