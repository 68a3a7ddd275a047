"""Writes responses to one connection: complete, streamed or passed on."""

import os
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import curio
import h11

from turmericyard_http.intake.account import Kind, Reason
from turmericyard_http.intake.gate import Intake
from turmericyard_http.messages import (
    OpaqueResponse,
    Response,
    StreamResponse,
)

Answer: TypeAlias = Response | StreamResponse | OpaqueResponse

#: Statuses whose responses have no body and no `Content-Length`.
STATUSES_WITHOUT_BODY = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one connection, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    idle_seconds: float = 60
    send_seconds: float = 30
    #: How long a server that shuts down waits for handshakes in progress.
    handshake_seconds: float = 0.1
    #: How long a server that shuts down waits for a request on an idle
    #: connection.
    last_request_seconds: float = 0.5
    #: How long a server that shuts down waits for the rest of a request.
    unfinished_request_seconds: float = 5
    #: How long input is read and discarded after the last response.
    linger_seconds: float = 0.25
    #: Whether the handler is cancelled when its client disconnects.
    watch_client: bool = False
    #: How long sent bytes may stay unacknowledged; 0 uses the system default.
    user_timeout_seconds: float = 0


@dataclass(slots=True)
class ServerState:
    """Progress of a server's shutdown, shared by its connections."""

    #: Each response is the last one on its connection.
    keep_alive_disabled: bool = False
    #: No more connections are accepted; idle connections are closed.
    shutting_down: bool = False
    intake: Intake = field(default_factory=Intake)

    def response_headers(
        self, response: Response | StreamResponse
    ) -> list[tuple[str, str]]:
        """Return the headers; adds `connection: close` when it is the last."""
        headers = dict(response.headers)
        if self.keep_alive_disabled:
            headers['connection'] = 'close'
        return list(headers.items())


class ResponseWriter:
    """Sends responses on one connection."""

    def __init__(
        self,
        sock: Any,
        protocol: h11.Connection,
        limits: Limits,
        state: ServerState,
    ) -> None:
        self.sock = sock
        self.protocol = protocol
        self.limits = limits
        self.state = state

    async def send_event(self, event: Any) -> None:
        """Send one h11 event."""
        payload = self.protocol.send(event)
        if payload:
            await self.send_with_timeout(payload)

    async def send_response(self, response: Answer) -> None:
        """Send a response of any kind."""
        if isinstance(response, StreamResponse):
            await self.send_stream(response)
        elif isinstance(response, OpaqueResponse):
            await self.send_opaque(response)
        else:
            await self.send_complete(response)

    async def send_opaque(self, response: OpaqueResponse) -> None:
        """Send a response whose header lines are passed on unchanged."""
        lines = list(response.lines)
        if self.state.keep_alive_disabled:
            lines.append((b'connection', b'close'))
        if response.chunks is not None:
            lines.append((b'transfer-encoding', b'chunked'))
        elif response.status not in STATUSES_WITHOUT_BODY:
            lines.append((b'content-length', b'%d' % len(response.body)))
        send = self.protocol.send
        payload = send(h11.Response(status_code=response.status, headers=lines))
        if response.chunks is not None:
            try:
                await self.send_chunks(payload, response.chunks)
            finally:
                await close_chunks(response.chunks)
            await self.send_event(h11.EndOfMessage())
            return
        if response.status not in STATUSES_WITHOUT_BODY:
            payload += send(h11.Data(data=response.body))
        payload += send(h11.EndOfMessage())
        await self.send_with_timeout(payload)

    async def send_complete(self, response: Response) -> None:
        """Send the head, the body and the end of a response in one write."""
        headers = self.state.response_headers(response)
        headers.append(('content-length', str(len(response.body))))
        send = self.protocol.send
        head = h11.Response(status_code=response.status, headers=headers)
        payload = send(head)
        payload += send(h11.Data(data=response.body))
        payload += send(h11.EndOfMessage())
        await self.send_with_timeout(payload)

    async def send_stream(self, response: StreamResponse) -> None:
        """Send chunks as they are produced; always closes their source.

        The head is sent together with the first chunk.
        """
        headers = self.state.response_headers(response)
        headers.append(('transfer-encoding', 'chunked'))
        send = self.protocol.send
        head = h11.Response(status_code=response.status, headers=headers)
        try:
            await self.send_chunks(send(head), response.chunks)
        finally:
            await close_chunks(response.chunks)
        await self.send_event(h11.EndOfMessage())

    async def send_chunks(
        self, head: bytes, chunks: AsyncIterator[bytes]
    ) -> None:
        """Send the head and then each chunk as one chunk of the body."""
        send = self.protocol.send
        async for chunk in chunks:
            payload = send(h11.Data(data=chunk))
            if head:
                payload = head + payload
                head = b''
            await self.send_with_timeout(payload)
        if head:
            await self.send_with_timeout(head)

    async def send_with_timeout(self, payload: bytes) -> None:
        """Send within the time limit; raises TaskTimeout when it expires."""
        sent = write_without_blocking(self.sock, payload)
        if sent < len(payload):
            await self.send_rest(memoryview(payload)[sent:])

    async def send_rest(self, rest: memoryview) -> None:
        """Send what the socket had no room for, within the account.

        Raises ConnectionAbortedError without room, and TaskTimeout when the
        client does not read for `stall_seconds`.
        """
        intake = self.state.intake
        size = len(rest)
        if not intake.account.reserve(Kind.RESPONSES, size):
            intake.account.reject(Reason.UNREAD_RESPONSE)
            raise ConnectionAbortedError('no memory for an unread response')
        ends_at = await curio.clock() + self.limits.send_seconds
        stall_seconds = intake.limits.stall_seconds or self.limits.send_seconds
        try:
            while rest:
                # Not within a second time limit: in curio the expiry of the
                # inner one is an error of another type in the outer one.
                seconds = min(stall_seconds, ends_at - await curio.clock())
                async with curio.timeout_after(max(0, seconds)):
                    sent = await self.sock.send(rest)
                rest = rest[sent:]
        except curio.TaskTimeout:
            intake.account.reject(Reason.UNREAD_RESPONSE)
            raise
        finally:
            intake.account.take(Kind.RESPONSES, -size)


def write_without_blocking(sock: Any, payload: bytes) -> int:
    """Write as much as fits into the socket's buffer; return the byte count.

    A time limit costs more than the write itself, so the common case, a
    buffer with enough room, is written without one.
    """
    try:
        return os.write(sock.fileno(), payload)
    except BlockingIOError:
        return 0


async def close_chunks(chunks: AsyncIterator[bytes]) -> None:
    """Close an asynchronous generator; other iterators need no closing."""
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
