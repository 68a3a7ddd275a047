"""HTTP/1.1 server: one task per connection, keep-alive, streamed responses.

A server that shuts down loses no request that reached it. It accepts the
connections in the accept queue, closes the listener, sends `connection: close`
with the next response of each connection and waits until all connections are
closed. While it closes the listener, new handshakes are dropped, so that none
completes without being accepted.
"""

import socket as system_socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import curio
import h11

from turmericyard_http.answer_writer import Limits, ServerState
from turmericyard_http.connection import has_input, set_user_timeout
from turmericyard_http.exchange import (
    Handler,
    ServerConnection,
    reset_unframed,
    shut_down,
)
from turmericyard_http.handshake_filter import drop_new_handshakes
from turmericyard_http.intake.account import Reason
from turmericyard_http.intake.gate import (
    ACCEPT_PAUSE_SECONDS,
    PASSING_ERRORS,
    Intake,
)
from turmericyard_http.tasks import BackgroundTasks

LISTEN_BACKLOG = 1024


def open_listener(host: str, port: int) -> Any:
    """Return a listening curio socket; port 0 selects a free port.

    Raises OSError when the address cannot be bound.
    """
    listener = system_socket.socket(
        system_socket.AF_INET, system_socket.SOCK_STREAM
    )
    listener.setsockopt(system_socket.SOL_SOCKET, system_socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return curio.io.Socket(listener)


def listener_port(listener: Any) -> int:
    """Return the port that the listener is bound to."""
    return int(listener.getsockname()[1])


async def serve_http(
    listener: Any, handler: Handler, limits: Limits | None = None
) -> None:
    """Serve until cancelled; then close every open connection."""
    await HttpServer(listener, handler, limits or Limits()).run()


class HttpServer:
    """Serves the connections of one listener until `finish` is called."""

    def __init__(
        self,
        listener: Any,
        handler: Handler,
        limits: Limits | Callable[[], Limits],
        intake: Intake | None = None,
    ) -> None:
        self.listener = listener
        self.handler = handler
        #: Read for each new connection, where they may change.
        self.read_limits = limits if callable(limits) else None
        self.limits = limits() if callable(limits) else limits
        self.connection_tasks = BackgroundTasks()
        self.connections: set[ServerConnection] = set()
        self.queued_sockets: list[Any] = []
        self.intake = intake or Intake()
        self.state = ServerState(intake=self.intake)
        limit_receive_buffer(listener, self.intake.limits.receive_buffer_bytes)
        self.stopped = curio.Event()

    async def run(self) -> None:
        """Serve until finished or cancelled; closes every connection."""
        try:
            async with self.listener:
                await self.accept_all()
            await self.drain_connections()
        finally:
            await self.close()

    async def close(self) -> None:
        """Close every connection at once."""
        await self.connection_tasks.cancel_all()
        await self.stopped.set()

    def announce_leaving(self) -> None:
        """Make each response from now on the last one on its connection."""
        self.state.keep_alive_disabled = True

    async def finish(self, seconds: float) -> None:
        """Accept no new connections; wait until the open ones are closed.

        Returns after `seconds` at the latest, even with connections open.
        """
        self.announce_leaving()
        if not self.state.shutting_down:
            await self.drain_handshakes()
            self.state.shutting_down = True
            await self.drain_accept_queue()
        async with curio.ignore_after(seconds):
            await self.stopped.wait()

    async def drain_handshakes(self) -> None:
        """Drop new handshakes and wait for those in progress to complete."""
        seconds = self.limits.handshake_seconds
        if seconds > 0 and drop_new_handshakes(self.listener):
            await curio.sleep(seconds)

    async def drain_accept_queue(self) -> None:
        """Accept all queued connections, then shut the listener down.

        No other task runs in between.
        """
        with suppress(OSError):
            while has_input(self.listener):
                sock, _ = await self.listener.accept()
                self.queued_sockets.append(sock)
        await shut_down(self.listener, system_socket.SHUT_RDWR)

    async def accept_all(self) -> None:
        """Serve each connection until the listener is shut down."""
        while True:
            sock = await self.accept()
            if sock is not None:
                await self.admit(sock)
            elif self.state.shutting_down:
                return

    async def accept(self) -> Any:
        """Return the next connection, None after an error that passes."""
        try:
            sock, _ = await self.listener.accept()
        except OSError as error:
            if self.state.shutting_down:
                return None
            if error.errno not in PASSING_ERRORS:
                raise
            self.intake.account.reject(Reason.DESCRIPTORS)
            await curio.sleep(ACCEPT_PAUSE_SECONDS)
            return None
        return sock

    async def admit(self, sock: Any) -> None:
        """Serve a connection if the bound allows it or another is ended."""
        if self.intake.is_full and not await self.intake.make_room():
            await sock.close()
            return
        await self.serve(sock)
        if self.intake.limits.connections:
            # An accept that need not wait gives no other task its turn: those
            # that close connections, and those that count new ones.
            await curio.sleep(0)

    async def serve(self, sock: Any) -> None:
        """Start the task that serves a connection."""
        await self.connection_tasks.spawn(self.serve_connection, sock)

    async def serve_connection(self, sock: Any) -> None:
        """Answer the requests of a connection until either side closes it."""
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        if self.limits.user_timeout_seconds:
            set_user_timeout(sock, self.limits.user_timeout_seconds)
        if self.read_limits is not None:
            self.limits = self.read_limits()
        connection = ServerConnection(sock, self.limits, self.state)
        self.connections.add(connection)
        self.intake.add(connection)
        async with sock:
            try:
                await connection.answer_all(self.handler)
            except (OSError, curio.TaskTimeout, h11.ProtocolError):
                reset_unframed(connection)
                return
            finally:
                self.forget(connection)

    def forget(self, connection: ServerConnection) -> None:
        """Give back what a closed connection was counted for."""
        connection.release()
        self.connections.discard(connection)
        self.intake.remove(connection)

    async def drain_connections(self) -> None:
        """Serve the queued connections, then close idle and unfinished ones."""
        idle = {each for each in self.connections if each.idle}
        for sock in self.queued_sockets:
            await self.serve(sock)
        await self.wait_closed(self.limits.last_request_seconds)
        for connection in idle:
            await connection.close_idle()
        await self.wait_closed(self.limits.linger_seconds)
        for closing in idle:
            if closing.sending_closed:
                await shut_down(closing.sock, system_socket.SHUT_RD)
        await self.wait_closed(self.limits.unfinished_request_seconds)
        for unfinished in tuple(self.connections):
            if unfinished.reading:
                await shut_down(unfinished.sock, system_socket.SHUT_RD)
        await self.connection_tasks.wait_all()

    async def wait_closed(self, seconds: float) -> None:
        """Wait until all connections are closed, at most `seconds`."""
        async with curio.ignore_after(seconds):
            await self.connection_tasks.wait_all()


def limit_receive_buffer(listener: Any, size: int) -> None:
    """Bound what a client may send before it is read; 0 is no bound.

    Connections inherit it from their listener. Without it the system lets the
    buffer of a connection grow to megabytes.
    """
    if size:
        listener.setsockopt(
            system_socket.SOL_SOCKET, system_socket.SO_RCVBUF, size
        )
