"""The server side of one connection: its requests and responses."""

import socket as system_socket
import struct
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
from turmericyard_http.intake.account import Reason
from turmericyard_http.intake.body import Body
from turmericyard_http.intake.input import (
    HEAD_RECEIVE_BYTES,
    ConnectionInput,
)
from turmericyard_http.intake.refusals import UNAVAILABLE, RequestRefused
from turmericyard_http.intake.request_reader import read_body, read_head
from turmericyard_http.messages import (
    Request,
    json_response,
    split_target,
)

Handler: TypeAlias = Callable[[Request], Awaitable[Answer]]

RECEIVE_BYTES = 65_536
BAD_REQUEST = 400
INTERNAL_ERROR = 500
HTTP_1_0 = b'1.0'
#: Value of SO_LINGER (on, 0 seconds) that makes a close reset the connection.
RESET = struct.pack('ii', 1, 0)
#: Retry-after time of a request for which there is no memory, in seconds.
RETRY_AFTER_SECONDS = 1
#: Why a connection is ended with a response; others are shut down both ways.
ANSWERED_REASONS = frozenset(
    (Reason.SLOW_HEAD, Reason.SLOW_BODY, Reason.MEMORY)
)


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
        self.input = ConnectionInput(sock)
        #: Requests whose head has arrived.
        self.requests = 0
        self.body: Body | None = None

    @property
    def idle(self) -> bool:
        """Return whether no byte of the next request has been read."""
        return self.phase == 'idle'

    @property
    def phase(self) -> str:
        """Return what is read or done: `idle`, `head`, `body` or `answer`."""
        state = self.protocol.their_state
        if state is h11.IDLE:
            return 'head' if self.input.pending else 'idle'
        return 'body' if state is h11.SEND_BODY else 'answer'

    @property
    def reading(self) -> bool:
        """Return whether a request is awaited or partly read."""
        return self.protocol.their_state in {h11.IDLE, h11.SEND_BODY}

    async def answer_all(self, handler: Handler) -> None:
        """Answer requests until either side closes; then close cleanly."""
        while await self.answer_next(handler):
            self.protocol.start_next_cycle()
            if self.input.pending:
                await curio.sleep(0)
        if self.protocol.their_state is not h11.CLOSED:
            await self.linger()

    def can_be_replaced(self, *, idle: bool) -> bool:
        """Return whether it may be closed for a new connection.

        No request may be in progress. With `idle` there may have been some.
        """
        if self.input.end_reason is not None:
            return False
        if idle and self.phase == 'idle':
            return True
        return not self.requests and self.phase in {'idle', 'head'}

    async def abort(self, reason: Reason) -> None:
        """End the connection; its own task closes it.

        The sending side stays open where a response says why.
        """
        if self.input.end_reason is None:
            self.input.end_reason = reason
            self.state.intake.account.reject(reason)
            direction = system_socket.SHUT_RDWR
            if reason in ANSWERED_REASONS:
                direction = system_socket.SHUT_RD
            await shut_down(self.sock, direction)

    def release(self) -> None:
        """Give back what is reserved for the last request."""
        if self.body is not None:
            self.body.release()
            self.body = None

    async def linger(self) -> None:
        """Close the sending side and discard input until the client closes.

        A close with unread input would reset the connection, and the client
        could lose a response that it has not read yet. Does nothing when the
        connection was shut down.
        """
        reason = self.input.end_reason
        if not (reason is None or reason in ANSWERED_REASONS):
            return
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
            self.input.pending += await self.input.receive(HEAD_RECEIVE_BYTES)
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
        except RequestRefused as refused:
            await self.refuse(refused.status, refused.kind)
            return False
        if request is None:
            return False
        if self.limits.watch_client:
            await self.answer_until_disconnect(handler, request)
        else:
            await self.answer(handler, request)
        self.release()
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

        Stops reading when a head of the longest kind is pending.
        """
        source = self.input
        room = HEAD_RECEIVE_BYTES - len(source.pending)
        while room > 0:
            try:
                received = await source.receive(room)
            except OSError:
                break
            if not received or source.end_reason is not None:
                break
            source.pending += received
            room -= len(received)
        else:
            return
        await response_task.cancel(blocking=False)

    async def refuse(self, status: int, kind: str) -> None:
        """Send an error response to a request that could not be read."""
        sendable = self.protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}
        if not (status and sendable):
            return
        payload = {
            'outcome': 'not-run',
            'kind': kind,
            'message': f'{kind}: send a smaller or well-formed request',
        }
        headers = {'connection': 'close', 'x-outcome': 'not-run'}
        if status == UNAVAILABLE:
            headers['retry-after'] = str(RETRY_AFTER_SECONDS)
        await self.writer.send_complete(json_response(status, payload, headers))

    async def read_request(self) -> Request | None:
        """Return the next request, or None when the client has closed."""
        async with curio.timeout_after(self.limits.idle_seconds):
            head = await read_head(self)
            if not isinstance(head, h11.Request):
                return None
            self.requests += 1
            headers = {
                name.decode('latin-1'): value.decode('latin-1')
                for name, value in head.headers
            }
            body = await read_body(self, headers)
        path, query = split_target(head.target.decode('latin-1'))
        return Request(
            head.method.decode('latin-1'),
            path,
            query,
            headers,
            body,
            bytes(head.target),
            tuple((bytes(name), bytes(text)) for name, text in head.headers),
        )


async def discard_input(sock: Any) -> None:
    """Read and discard input until the peer closes."""
    received = await sock.recv(RECEIVE_BYTES)
    while received:
        # A read that need not wait gives no other task its turn.
        await curio.sleep(0)
        received = await sock.recv(RECEIVE_BYTES)


async def shut_down(sock: Any, direction: int) -> None:
    """Shut down a socket in the given direction; ignore OSError.

    Another task may be reading from it.
    """
    with suppress(OSError):
        await sock.shutdown(direction)


def reset_unframed(connection: ServerConnection) -> None:
    """Let the close reset a connection whose broken response looks complete.

    A response to HTTP/1.0 has no chunks: only its connection's end ends it.
    """
    protocol = connection.protocol
    is_broken = protocol.our_state is h11.SEND_BODY
    if is_broken and protocol.their_http_version == HTTP_1_0:
        connection.sock.setsockopt(
            system_socket.SOL_SOCKET, system_socket.SO_LINGER, RESET
        )
