"""The server side of one connection: its requests and responses."""

import socket as system_socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, TypeAlias

import curio
import h11

from turmericyard_http.answer_writer import (
    Answer,
    Limits,
    ResponseWriter,
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
#: Bytes read ahead while a request is being answered; more input is left in
#: the socket.
MAX_READ_AHEAD_BYTES = 262_144


class RequestTooLarge(Exception):
    """The body exceeds the limit; the response has status 413."""


class ServerConnection:
    """The server side of one connection."""

    def __init__(self, sock: Any, limits: Limits, state: ServerState) -> None:
        self.sock = sock
        self.limits = limits
        self.state = state
        self.sending_closed = False
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.writer = ResponseWriter(sock, self.protocol, limits, state)

    @property
    def idle(self) -> bool:
        """Return whether no byte of the next request has been read."""
        no_input = self.protocol.trailing_data[0] == b''
        return no_input and self.protocol.their_state is h11.IDLE

    @property
    def reading(self) -> bool:
        """Return whether a request is awaited or partly read."""
        return self.protocol.their_state in {h11.IDLE, h11.SEND_BODY}

    async def answer_all(self, handler: Handler) -> None:
        """Answer requests until either side closes; then close cleanly."""
        while await self.answer_next(handler):
            self.protocol.start_next_cycle()
        if self.protocol.their_state is not h11.CLOSED:
            await self.linger()

    async def linger(self) -> None:
        """Close the sending side and discard input until the client closes.

        A close with unread input would reset the connection, and the client
        could lose a response that it has not read yet.
        """
        await self.sock.shutdown(system_socket.SHUT_WR)
        async with curio.ignore_after(self.limits.linger_seconds):
            await discard_input(self.sock)

    async def close_idle(self) -> None:
        """Close the sending side if no request has arrived."""
        if self.idle and not has_input(self.sock):
            self.sending_closed = True
            await shut_down(self.sock, system_socket.SHUT_WR)

    async def wait_for_request(self) -> bool:
        """Return whether a request begins within `last_request_seconds`."""
        if not self.idle:
            return True
        async with curio.ignore_after(self.limits.last_request_seconds):
            self.protocol.receive_data(await self.sock.recv(RECEIVE_BYTES))
            return True
        return False

    async def answer_next(self, handler: Handler) -> bool:
        """Answer one request; return whether the connection can be reused."""
        if self.state.shutting_down and not await self.wait_for_request():
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
            await self.answer_until_disconnect(handler, request)
        else:
            await self.answer(handler, request)
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def answer(self, handler: Handler, request: Request) -> None:
        """Send the handler's response."""
        await self.writer.send_response(await handler(request))

    async def answer_until_disconnect(
        self, handler: Handler, request: Request
    ) -> None:
        """Answer, and cancel the handler when the client disconnects.

        Raises ConnectionAbortedError when the response was not completed.
        """
        response_task = await curio.spawn(
            self.answer_returning_error, handler, request
        )
        watch_task = await curio.spawn(self.cancel_on_disconnect, response_task)
        try:
            failure = await response_task.join()
        except curio.TaskError as error:
            raise ConnectionAbortedError from error.__cause__
        finally:
            await watch_task.cancel()
            await response_task.cancel()
        if failure is not None:
            raise ConnectionAbortedError from failure

    async def answer_returning_error(
        self, handler: Handler, request: Request
    ) -> Exception | None:
        """Answer; return the connection's failure, or None."""
        try:
            await self.answer(handler, request)
        except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
            return error
        return None

    async def cancel_on_disconnect(self, response_task: Any) -> None:
        """Read ahead; cancel the task when the client disconnects.

        Stops reading after `MAX_READ_AHEAD_BYTES`.
        """
        read_ahead = 0
        while read_ahead < MAX_READ_AHEAD_BYTES:
            try:
                received = await self.sock.recv(RECEIVE_BYTES)
            except OSError:
                break
            if not received:
                break
            read_ahead += len(received)
            self.protocol.receive_data(received)
        else:
            return
        await response_task.cancel(blocking=False)

    async def refuse(self, status: int, kind: str) -> None:
        """Send an error response to a request that could not be read."""
        if self.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        payload = {
            'outcome': 'not-run',
            'kind': kind,
            'message': f'{kind}: send a smaller or well-formed request',
        }
        headers = {'connection': 'close', 'x-outcome': 'not-run'}
        await self.writer.send_complete(json_response(status, payload, headers))

    async def read_request(self) -> Request | None:
        """Return the next request, or None when the client has closed."""
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
        """Return the complete body; raises RequestTooLarge over the limit."""
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
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                await self.writer.send_event(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            received = await self.sock.recv(RECEIVE_BYTES)
            if not (received and self.sending_closed):
                self.protocol.receive_data(received)


async def discard_input(sock: Any) -> None:
    """Read and discard input until the peer closes."""
    received = await sock.recv(RECEIVE_BYTES)
    while received:
        received = await sock.recv(RECEIVE_BYTES)


async def shut_down(sock: Any, direction: int) -> None:
    """Shut down a socket in the given direction; ignore OSError.

    Another task may be reading from it.
    """
    with suppress(OSError):
        await sock.shutdown(direction)
