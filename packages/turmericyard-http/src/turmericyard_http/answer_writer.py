"""Writes the answers of one connection: whole, streamed or passed on."""

import os
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, TypeAlias

import curio
import h11

from turmericyard_http.messages import (
    OpaqueResponse,
    Response,
    StreamResponse,
)

Answer: TypeAlias = Response | StreamResponse | OpaqueResponse

#: Statuses whose answers have no body and no length.
BODILESS = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one connection, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    idle_seconds: float = 60
    send_seconds: float = 30
    #: How long an ending server waits for handshakes under way.
    handshake_seconds: float = 0.1
    #: How long an ending server waits for a request on an idle connection.
    last_request_seconds: float = 0.5
    #: How long an ending server waits for the rest of a request.
    rest_seconds: float = 5
    #: How long input is read and dropped after the last answer.
    linger_seconds: float = 0.25
    #: Whether the handler is cancelled when its client has gone.
    watch_client: bool = False
    #: How long sent bytes may stay unacknowledged; 0 leaves it to the system.
    user_timeout_seconds: float = 0


@dataclass(slots=True)
class ServerState:
    """How far a server is towards its end, shared by its connections."""

    #: Each answer is the last one of its connection.
    leaving: bool = False
    #: No connection is accepted any more; idle ones end.
    finishing: bool = False

    def headers_of(
        self, answer: Response | StreamResponse
    ) -> list[tuple[str, str]]:
        """Return the headers, with the announced end of the connection."""
        headers = dict(answer.headers)
        if self.leaving:
            headers['connection'] = 'close'
        return list(headers.items())


class AnswerWriter:
    """Sends answers on one connection."""

    def __init__(
        self,
        sock: Any,
        connection: h11.Connection,
        limits: Limits,
        state: ServerState,
    ) -> None:
        self.sock = sock
        self.connection = connection
        self.limits = limits
        self.state = state

    async def send_event(self, event: Any) -> None:
        """Send one h11 event."""
        payload = self.connection.send(event)
        if payload:
            await self.send_bounded(payload)

    async def send_answer(self, answer: Answer) -> None:
        """Send a whole or a streamed response."""
        if isinstance(answer, StreamResponse):
            await self.send_stream(answer)
        elif isinstance(answer, OpaqueResponse):
            await self.send_opaque(answer)
        else:
            await self.send_whole(answer)

    async def send_opaque(self, answer: OpaqueResponse) -> None:
        """Send an answer whose lines pass unchanged."""
        lines = list(answer.lines)
        if self.state.leaving:
            lines.append((b'connection', b'close'))
        if answer.chunks is not None:
            lines.append((b'transfer-encoding', b'chunked'))
        elif answer.status not in BODILESS:
            lines.append((b'content-length', b'%d' % len(answer.body)))
        send = self.connection.send
        payload = send(h11.Response(status_code=answer.status, headers=lines))
        if answer.chunks is not None:
            try:
                await self.send_chunks(payload, answer.chunks)
            finally:
                await close_chunks(answer.chunks)
            await self.send_event(h11.EndOfMessage())
            return
        if answer.status not in BODILESS:
            payload += send(h11.Data(data=answer.body))
        payload += send(h11.EndOfMessage())
        await self.send_bounded(payload)

    async def send_whole(self, response: Response) -> None:
        """Send head, body and end in one write."""
        headers = self.state.headers_of(response)
        headers.append(('content-length', str(len(response.body))))
        send = self.connection.send
        head = h11.Response(status_code=response.status, headers=headers)
        payload = send(head)
        payload += send(h11.Data(data=response.body))
        payload += send(h11.EndOfMessage())
        await self.send_bounded(payload)

    async def send_stream(self, response: StreamResponse) -> None:
        """Send chunks as they come; the source is closed in every case.

        The head goes out together with the first chunk.
        """
        headers = self.state.headers_of(response)
        headers.append(('transfer-encoding', 'chunked'))
        send = self.connection.send
        head = h11.Response(status_code=response.status, headers=headers)
        try:
            await self.send_chunks(send(head), response.chunks)
        finally:
            await close_chunks(response.chunks)
        await self.send_event(h11.EndOfMessage())

    async def send_chunks(
        self, head: bytes, chunks: AsyncIterator[bytes]
    ) -> None:
        """Send the head and each chunk as one chunk of the body."""
        send = self.connection.send
        async for chunk in chunks:
            payload = send(h11.Data(data=chunk))
            if head:
                payload = head + payload
                head = b''
            await self.send_bounded(payload)
        if head:
            await self.send_bounded(head)

    async def send_bounded(self, payload: bytes) -> None:
        """Send within the time limit; raises TaskTimeout past it."""
        sent = write_now(self.sock, payload)
        if sent < len(payload):
            async with curio.timeout_after(self.limits.send_seconds):
                await self.sock.sendall(payload[sent:])


def write_now(sock: Any, payload: bytes) -> int:
    """Write what the socket's buffer takes; return how many bytes.

    A time limit costs more than the write itself, so that the common case of
    room in the buffer goes without one.
    """
    try:
        return os.write(sock.fileno(), payload)
    except BlockingIOError:
        return 0


async def close_chunks(chunks: AsyncIterator[bytes]) -> None:
    """Close an asynchronous generator; other iterators need nothing."""
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
