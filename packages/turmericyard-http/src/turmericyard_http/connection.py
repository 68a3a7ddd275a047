"""One client connection: a socket and its h11 state."""

import select
import socket as system_socket
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from functools import lru_cache
from typing import Any

import curio
import h11

from turmericyard_http.messages import (
    HEAD_END,
    Headers,
    Response,
    find_head_defect,
)
from turmericyard_http.response_bodies import PROCESS_BODIES, ResponseTooLong

RECEIVE_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
#: Requests up to this length, in bytes, are sent before the response is read:
#: the empty send buffer of a socket holds them.
MAX_BUFFERED_REQUEST_BYTES = 16_384
RESPONSE_HEADS = (h11.InformationalResponse, h11.Response)
#: Interim responses (status 1xx) accepted before the final response.
MAX_INTERIM_RESPONSES = 16
#: Validated heads of recent requests that are cached for reuse.
MAX_CACHED_HEADS = 512


class ClientConnection:
    """The client side of one connection; carries one exchange at a time."""

    def __init__(self, sock: Any, host: str) -> None:
        self.sock = sock
        self.host = host
        #: When it became idle last, None during its first exchange.
        self.idle_since: float | None = None
        self.bodies = PROCESS_BODIES
        #: Bytes of response heads that are not yet checked.
        self.unchecked_heads = bytearray()
        #: The first failure of the connection that a read or write reported.
        self.failure: OSError | None = None
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    async def send_request(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str] | None,
        body: bytes,
    ) -> None:
        """Send a complete request in one write."""
        send = self.protocol.send
        lines = (
            ('host', self.host),
            ('content-length', str(len(body))),
            *(headers or {}).items(),
        )
        payload = send(cached_request_head(method, target, lines)) or b''
        if body:
            payload += send(h11.Data(data=body)) or b''
        payload += send(h11.EndOfMessage()) or b''
        await self.write(payload)

    async def ask_lines(
        self, method: bytes, target: bytes, lines: Headers, body: bytes
    ) -> tuple[int, Headers]:
        """Send a request with its header lines unchanged; return the response head.

        A response that arrives before the peer has read the whole body counts
        as well. Raises as `read_lines`.
        """
        payload = self.encode_request(method, target, lines, body)
        if len(payload) <= MAX_BUFFERED_REQUEST_BYTES:
            await self.send_ignoring_errors(payload)
            return await self.read_lines()
        sending = await curio.spawn(self.send_ignoring_errors, payload)
        try:
            return await self.read_lines()
        finally:
            await sending.cancel()

    async def send_ignoring_errors(self, payload: bytes) -> None:
        """Send bytes; leave a failure of the connection to its reader.

        It fails in the same way, after it has read what the peer sent before.
        """
        with suppress(OSError):
            await self.write(payload)

    async def send_lines(
        self, method: bytes, target: bytes, lines: Headers, body: bytes
    ) -> None:
        """Send a complete request with its header lines unchanged."""
        await self.write(self.encode_request(method, target, lines, body))

    def encode_request(
        self, method: bytes, target: bytes, lines: Headers, body: bytes
    ) -> bytes:
        """Return the bytes of a complete request."""
        send = self.protocol.send
        head = h11.Request(method=method, target=target, headers=list(lines))
        payload = send(head) or b''
        if body:
            payload += send(h11.Data(data=body)) or b''
        return payload + (send(h11.EndOfMessage()) or b'')

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Return status and headers; raises EOFError when truncated."""
        status, lines = await self.read_lines()
        headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in lines
        }
        return status, headers

    async def read_lines(self) -> tuple[int, Headers]:
        """Return status and header lines; raises as `read_head`."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event.status_code, tuple(
                    (bytes(name), bytes(text)) for name, text in event.headers
                )
            if isinstance(event, h11.ConnectionClosed):
                raise EOFError('connection closed before the response')
        raise ResponseTooLong('too many interim responses')

    async def read_data(self) -> bytes:
        """Return the next piece of the body, empty at its end."""
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b''

    async def read_piece(self) -> bytes:
        """Return the next piece of the body, empty at its end.

        Raises EOFError when the body is truncated and OSError when the
        connection failed.
        """
        try:
            return await self.read_data()
        except h11.ProtocolError as error:
            raise EOFError(str(error) or type(error).__name__) from error

    async def read_rest(self) -> bytes:
        """Return the rest of the body; raises as `read_piece`.

        Raises ResponseTooLong as `ResponseBodies.read_all`.
        """
        return await self.bodies.read_all(self.read_piece)

    async def read_response(self) -> Response:
        """Return the complete response; raises EOFError when truncated."""
        status, headers = await self.read_head()
        body = await self.bodies.read_all(self.read_data)
        return Response(status, headers, body)

    async def next_event(self) -> Any:
        """Return the next h11 event, reading as needed.

        Raises h11.RemoteProtocolError, EOFError and OSError.
        """
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, RESPONSE_HEADS):
                    check_head(event, self.unchecked_heads)
                return event
            received = await self.read()
            if self.protocol.their_state is h11.SEND_RESPONSE:
                if not received:
                    raise EOFError('connection closed before the response')
                self.unchecked_heads += received
            self.protocol.receive_data(received)

    async def read(self) -> bytes:
        """Return the next bytes, empty only after the peer's orderly end.

        Raises OSError when the connection failed, after the bytes that had
        arrived before. The system reports a failure once, to the read or write
        that comes first; a read after that looks like an orderly end.
        """
        try:
            received: bytes = await self.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            self.failure = self.failure or error
            raise
        if received or self.failure is None:
            return received
        raise ConnectionResetError(
            'the connection failed before its orderly end'
        ) from self.failure

    async def write(self, payload: bytes) -> None:
        """Send bytes; raises OSError."""
        try:
            await self.sock.sendall(payload)
        except BrokenPipeError:
            # The first failure of a write is a broken pipe only where the peer
            # ended its side in order before: its bytes are complete.
            raise
        except OSError as error:
            self.failure = self.failure or error
            raise

    def recycle(self) -> bool:
        """Prepare for the next exchange; False when not reusable.

        Bytes after the response belong to no request; the next exchange would
        read them as its response.
        """
        unrequested, _ = self.protocol.trailing_data
        if unrequested:
            return False
        try:
            self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def abort(self) -> None:
        """Shut down both directions; another task's read returns at once."""
        with suppress(OSError):
            await self.sock.shutdown(system_socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the socket."""
        with suppress(OSError):
            await self.sock.close()


def check_head(
    event: h11.InformationalResponse | h11.Response, unchecked: bytearray
) -> None:
    """Check the bytes from which h11 read a head and take them out.

    Raises h11.RemoteProtocolError. The bytes after a final head are its body's
    and are dropped.
    """
    end = HEAD_END.search(unchecked)
    if end is None:
        # Its bytes came before the request.
        raise h11.RemoteProtocolError('the head belongs to no request')
    defect = find_head_defect(unchecked[: end.end()])
    if defect:
        raise h11.RemoteProtocolError(defect)
    if isinstance(event, h11.Response):
        unchecked.clear()
    else:
        del unchecked[: end.end()]


def has_input(sock: Any) -> bool:
    """Return whether a read or accept would return without waiting."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


@lru_cache(maxsize=MAX_CACHED_HEADS)
def cached_request_head(
    method: str, target: str, lines: tuple[tuple[str, str], ...]
) -> h11.Request:
    """Return a validated head.

    Cached because a node polls with a small number of different heads.
    """
    return h11.Request(method=method, target=target, headers=list(lines))


def set_user_timeout(sock: Any, seconds: float) -> None:
    """Let the system close a connection whose bytes stay unacknowledged.

    The same limit applies to an idle connection: keep-alive probes are sent
    every second.
    """
    tcp = system_socket.IPPROTO_TCP
    milliseconds = int(seconds * 1000)
    sock.setsockopt(tcp, system_socket.TCP_USER_TIMEOUT, milliseconds)
    sock.setsockopt(system_socket.SOL_SOCKET, system_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, system_socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(tcp, system_socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, system_socket.TCP_KEEPCNT, max(1, int(seconds)))


#: Opens a connection to `ip:port`, with a user timeout in seconds; raises
#: OSError.
Connect = Callable[[str, float], Awaitable[ClientConnection]]


async def connect(
    address: str, user_timeout_seconds: float = 0
) -> ClientConnection:
    """Return a new connection to `ip:port`; raises OSError."""
    host, _, port = address.rpartition(':')
    sock = curio.socket.socket(system_socket.AF_INET, system_socket.SOCK_STREAM)
    sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
    if user_timeout_seconds:
        set_user_timeout(sock, user_timeout_seconds)
    try:
        await sock.connect((host, int(port)))
    except BaseException:
        await sock.close()
        raise
    return ClientConnection(sock, address)
