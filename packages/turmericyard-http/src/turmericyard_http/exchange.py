"""The server side of one connection: its requests and answers."""

import socket as system_socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, TypeAlias

import curio
import h11

from turmericyard_http.answer_writer import (
    Answer,
    AnswerWriter,
    Limits,
    ServerState,
)
from turmericyard_http.connection import has_input
from turmericyard_http.messages import (
    Request,
    json_response,
    split_target,
)

Handler: TypeAlias = Callable[[Request], Awaitable[Answer]]

RECEIVE_BYTES = 65_536
BAD_REQUEST = 400
PAYLOAD_TOO_LARGE = 413
INTERNAL_ERROR = 500
#: Input of a client that sends on while it is answered, in bytes.
MAX_EARLY_INPUT = 262_144


class RequestTooLarge(Exception):
    """The body passed the limit; the answer is 413."""


class ServerExchange:
    """The server side of one connection."""

    def __init__(self, sock: Any, limits: Limits, state: ServerState) -> None:
        self.sock = sock
        self.limits = limits
        self.state = state
        self.ended = False
        self.connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.writer = AnswerWriter(sock, self.connection, limits, state)

    @property
    def idle(self) -> bool:
        """Return whether no byte of a next request was read."""
        untouched = self.connection.trailing_data[0] == b''
        return untouched and self.connection.their_state is h11.IDLE

    @property
    def reading(self) -> bool:
        """Return whether a request is awaited or read in part."""
        return self.connection.their_state in {h11.IDLE, h11.SEND_BODY}

    async def answer_all(self, handler: Handler) -> None:
        """Answer requests until either side ends; then end cleanly."""
        while await self.answer_next(handler):
            self.connection.start_next_cycle()
        if self.connection.their_state is not h11.CLOSED:
            await self.linger()

    async def linger(self) -> None:
        """Send the end and drop input until the client's end.

        A close with unread input would reset the connection, and the client
        could lose the answer that it has not read yet.
        """
        await self.sock.shutdown(system_socket.SHUT_WR)
        async with curio.ignore_after(self.limits.linger_seconds):
            await drop_input(self.sock)

    async def end_idle(self) -> None:
        """Send the end if no request has arrived."""
        if self.idle and not has_input(self.sock):
            self.ended = True
            await shut_down(self.sock, system_socket.SHUT_WR)

    async def request_begins(self) -> bool:
        """Return whether a request begins soon, as the server ends."""
        if not self.idle:
            return True
        async with curio.ignore_after(self.limits.last_request_seconds):
            self.connection.receive_data(await self.sock.recv(RECEIVE_BYTES))
            return True
        return False

    async def answer_next(self, handler: Handler) -> bool:
        """Answer one request; return whether the connection may go on."""
        if self.state.finishing and not await self.request_begins():
            return False
        try:
            request = await self.read_request()
        except h11.RemoteProtocolError as error:
            await self.refuse(error.error_status_hint, 'malformed-http')
            return False
        except RequestTooLarge:
            await self.refuse(PAYLOAD_TOO_LARGE, 'body-too-large')
            return False
        if request is None:
            return False
        if self.limits.watch_client:
            await self.answer_watched(handler, request)
        else:
            await self.answer(handler, request)
        return (
            self.connection.our_state is h11.DONE
            and self.connection.their_state is h11.DONE
        )

    async def answer(self, handler: Handler, request: Request) -> None:
        """Send the handler's answer."""
        await self.writer.send_answer(await handler(request))

    async def answer_watched(self, handler: Handler, request: Request) -> None:
        """Answer, and cancel the handler when the client goes away.

        Raises ConnectionAbortedError when the answer was broken off.
        """
        answering = await curio.spawn(self.answer_caught, handler, request)
        watching = await curio.spawn(self.cancel_when_gone, answering)
        try:
            broken = await answering.join()
        except curio.TaskError as error:
            raise ConnectionAbortedError from error.__cause__
        finally:
            await watching.cancel()
            await answering.cancel()
        if broken is not None:
            raise ConnectionAbortedError from broken

    async def answer_caught(
        self, handler: Handler, request: Request
    ) -> Exception | None:
        """Answer; return how the connection failed meanwhile, if it did."""
        try:
            await self.answer(handler, request)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            return error
        return None

    async def cancel_when_gone(self, answering: Any) -> None:
        """Read ahead until the client ends its connection."""
        early = 0
        while early < MAX_EARLY_INPUT:
            try:
                received = await self.sock.recv(RECEIVE_BYTES)
            except OSError:
                break
            if not received:
                break
            early += len(received)
            self.connection.receive_data(received)
        else:
            return
        await answering.cancel(blocking=False)

    async def refuse(self, status: int, kind: str) -> None:
        """Answer a request that could not be read."""
        if self.connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        payload = {
            'outcome': 'not-run',
            'kind': kind,
            'message': f'{kind}: send a smaller or well-formed request',
        }
        headers = {'connection': 'close', 'x-outcome': 'not-run'}
        await self.writer.send_whole(json_response(status, payload, headers))

    async def read_request(self) -> Request | None:
        """Return the next request, or None when the client is done."""
        async with curio.timeout_after(self.limits.idle_seconds):
            head = await self.next_event()
            if not isinstance(head, h11.Request):
                return None
            body = await self.read_body()
        path, query = split_target(head.target.decode('latin-1'))
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in head.headers
        }
        return Request(
            head.method.decode('latin-1'),
            path,
            query,
            headers,
            body,
            bytes(head.target),
            tuple((bytes(name), bytes(text)) for name, text in head.headers),
        )

    async def read_body(self) -> bytes:
        """Return the whole body; raises RequestTooLarge past the limit."""
        parts = bytearray()
        while True:
            event = await self.next_event()
            if not isinstance(event, h11.Data):
                return bytes(parts)
            parts += event.data
            if len(parts) > self.limits.body_bytes:
                raise RequestTooLarge

    async def next_event(self) -> Any:
        """Return the next h11 event, reading as needed."""
        while True:
            event = self.connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.connection.they_are_waiting_for_100_continue:
                await self.writer.send_event(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            received = await self.sock.recv(RECEIVE_BYTES)
            if not (received and self.ended):
                self.connection.receive_data(received)


async def drop_input(sock: Any) -> None:
    """Read and drop until the peer's end."""
    received = await sock.recv(RECEIVE_BYTES)
    while received:
        received = await sock.recv(RECEIVE_BYTES)


async def shut_down(sock: Any, direction: int) -> None:
    """Shut a connection down in one direction, under its reader."""
    with suppress(OSError):
        await sock.shutdown(direction)
