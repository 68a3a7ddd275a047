"""HTTP/1.1 server: one task a connection, keep-alive, streamed responses.

A server that ends loses no request that reached it: it takes what waits in
the accept queue, closes the listener, announces the end of each connection in
its next answer and waits until all connections have ended. While it closes
the listener, new handshakes are dropped, so that none ends unaccepted.
"""

import socket as system_socket
from contextlib import suppress
from typing import Any

import curio
import h11

from turmericyard_http.answer_writer import Limits, ServerState
from turmericyard_http.connection import has_input, set_user_timeout
from turmericyard_http.exchange import Handler, ServerExchange, shut_down
from turmericyard_http.handshake_filter import drop_new_handshakes
from turmericyard_http.tasks import BackgroundTasks

LISTEN_BACKLOG = 1024


def open_listener(host: str, port: int) -> Any:
    """Return a listening curio socket; port 0 takes a free port.

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
    """Serve until cancelled; then every open connection is closed."""
    await HttpServer(listener, handler, limits or Limits()).run()


class HttpServer:
    """Serves the connections of one listener until it is told to finish."""

    def __init__(self, listener: Any, handler: Handler, limits: Limits) -> None:
        self.listener = listener
        self.handler = handler
        self.limits = limits
        self.connections = BackgroundTasks()
        self.exchanges: set[ServerExchange] = set()
        self.waiting: list[Any] = []
        self.state = ServerState()
        self.ended = curio.Event()

    async def run(self) -> None:
        """Serve until finished or cancelled; then no connection is open."""
        try:
            async with self.listener:
                await self.accept_all()
            await self.end_connections()
        finally:
            await self.close()

    async def close(self) -> None:
        """Close every connection at once."""
        await self.connections.cancel_all()
        await self.ended.set()

    def announce_leaving(self) -> None:
        """Let each answer from now on be the last one of its connection."""
        self.state.leaving = True

    async def finish(self, seconds: float) -> None:
        """Take no more connections; wait for the open ones to end well.

        Returns after `seconds` at the latest, with connections still open.
        """
        self.announce_leaving()
        if not self.state.finishing:
            await self.end_handshakes()
            self.state.finishing = True
            await self.close_queue()
        async with curio.ignore_after(seconds):
            await self.ended.wait()

    async def end_handshakes(self) -> None:
        """Begin no more handshakes and let those under way end."""
        seconds = self.limits.handshake_seconds
        if seconds > 0 and drop_new_handshakes(self.listener):
            await curio.sleep(seconds)

    async def close_queue(self) -> None:
        """Take what waits in the accept queue and let no more in.

        Nothing here gives way to other tasks.
        """
        with suppress(OSError):
            while has_input(self.listener):
                sock, _ = await self.listener.accept()
                self.waiting.append(sock)
        await shut_down(self.listener, system_socket.SHUT_RDWR)

    async def accept_all(self) -> None:
        """Serve each connection until the listener is shut down."""
        while True:
            try:
                sock, _ = await self.listener.accept()
            except OSError:
                if self.state.finishing:
                    return
                raise
            await self.serve(sock)

    async def serve(self, sock: Any) -> None:
        """Start the task of a connection."""
        await self.connections.spawn(self.serve_connection, sock)

    async def serve_connection(self, sock: Any) -> None:
        """Answer the requests of a connection until either side ends it."""
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        if self.limits.user_timeout_seconds:
            set_user_timeout(sock, self.limits.user_timeout_seconds)
        exchange = ServerExchange(sock, self.limits, self.state)
        self.exchanges.add(exchange)
        async with sock:
            try:
                await exchange.answer_all(self.handler)
            except (OSError, curio.TaskTimeout, h11.ProtocolError):
                return
            finally:
                self.exchanges.discard(exchange)

    async def end_connections(self) -> None:
        """Serve what has arrived; then end each connection that is idle."""
        idle = {each for each in self.exchanges if each.idle}
        for sock in self.waiting:
            await self.serve(sock)
        await self.wait_ended(self.limits.last_request_seconds)
        for exchange in idle:
            await exchange.end_idle()
        await self.wait_ended(self.limits.linger_seconds)
        for dropping in idle:
            if dropping.ended:
                await shut_down(dropping.sock, system_socket.SHUT_RD)
        await self.wait_ended(self.limits.rest_seconds)
        for unfinished in tuple(self.exchanges):
            if unfinished.reading:
                await shut_down(unfinished.sock, system_socket.SHUT_RD)
        await self.connections.wait_all()

    async def wait_ended(self, seconds: float) -> None:
        """Wait until all connections have ended, for a limited time."""
        async with curio.ignore_after(seconds):
            await self.connections.wait_all()
