"""Websocket over a curio socket that carries complete binary frames."""

import socket as system_socket
import struct
from collections import deque
from contextlib import suppress
from typing import Any

import curio
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import CloseCode, Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from turmericyard_protocol.codec import MAX_FRAME_BYTES
from turmericyard_protocol.forms import FIRST_FORM, FORM, read_form

RECEIVE_BYTES = 65_536
#: Source address with which the operating system chooses one.
ANY_SOURCE = ''
#: Header of the websocket opening in which each side names its message form.
FORM_HEADER = 'Turmericyard-Message-Form'

#: Maximum time to send a close frame, in seconds.
CLOSE_FRAME_TIMEOUT_SECONDS = 0.1

#: SO_LINGER value (on, 0 seconds) that makes close() send a reset.
LINGER_ZERO = struct.pack('ii', 1, 0)


class ChannelClosed(Exception):
    """The peer closed the websocket or broke its protocol."""


class ChannelEnded(ChannelClosed):
    """The TCP stream ended without a preceding close frame."""


class Channel:
    """One websocket; one task reads frames, any task may send them."""

    def __init__(self, sock: Any, protocol: ClientProtocol | ServerProtocol):
        self.sock = sock
        self.protocol = protocol
        self.frames: deque[bytes] = deque()
        self.send_lock = curio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self.reset_on_close = False
        #: The message form of the peer.
        self.form = FIRST_FORM

    async def read(self) -> bytes:
        """Return the next binary frame; raises ChannelClosed or OSError.

        What the protocol replies, such as a pong, is sent at once or, where a
        sender is held up, with the next frame: the reader does not wait for it.
        """
        while not self.frames:
            await self.receive()
            self.collect_frames()
            if not self.send_lock.locked():
                await self.flush()
        return self.frames.popleft()

    async def send(self, frame: bytes) -> None:
        """Send one binary frame; raises ChannelClosed or OSError."""
        if self.protocol.state is not State.OPEN:
            raise ChannelClosed
        self.frames_sent += 1
        self.protocol.send_binary(frame)
        await self.flush()

    async def receive(self) -> None:
        """Receive bytes and pass them to the protocol."""
        received = await self.sock.recv(RECEIVE_BYTES)
        if not received:
            raise ChannelEnded
        self.bytes_received += len(received)
        self.protocol.receive_data(received)

    def collect_frames(self) -> None:
        """Append complete binary frames to `frames`."""
        for event in self.protocol.events_received():
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY:
                self.frames.append(bytes(event.data))
        if self.protocol.state is not State.OPEN:
            raise ChannelClosed

    async def flush(self) -> None:
        """Send the bytes that the protocol has queued, in order."""
        async with self.send_lock:
            for part in self.protocol.data_to_send():
                if part:
                    self.bytes_sent += len(part)
                    await self.sock.sendall(part)

    async def abort(self) -> None:
        """Make reads and sends fail; the reading task closes the socket.

        curio keeps a file descriptor registered for the tasks that wait on it.
        If another task closed the socket, the next socket with the same
        descriptor would fail.
        """
        with suppress(OSError):
            await self.sock.shutdown(system_socket.SHUT_RDWR)

    async def send_close_frame(self) -> None:
        """Send a close frame; if that fails, let `close` reset the stream.

        To a peer, an orderly end of the stream without a close frame shows
        that this process has exited. A running process must not cause one.
        """
        try:
            async with curio.timeout_after(CLOSE_FRAME_TIMEOUT_SECONDS):
                self.protocol.send_close(CloseCode.GOING_AWAY)
                await self.flush()
        except (OSError, WebSocketException, curio.TaskTimeout):
            self.reset_on_close = True

    async def close(self) -> None:
        """Close the socket; only the task that reads it may call this."""
        if self.reset_on_close:
            self.sock.setsockopt(
                system_socket.SOL_SOCKET, system_socket.SO_LINGER, LINGER_ZERO
            )
        else:
            await self.abort()
        async with self.send_lock:
            with suppress(OSError):
                await self.sock.close()


async def connect_channel(address: str, source: str = ANY_SOURCE) -> Channel:
    """Return an open websocket to `ip:port`, bound to the IP `source`.

    Raises OSError or ChannelClosed.
    """
    host, _, port = address.rpartition(':')
    sock = curio.socket.socket(system_socket.AF_INET, system_socket.SOCK_STREAM)
    try:
        sock.bind((source, 0))
        await sock.connect((host, int(port)))
        return await upgrade_client(sock, address)
    except BaseException:
        await sock.close()
        raise


async def upgrade_client(sock: Any, address: str) -> Channel:
    """Perform the client side of the websocket upgrade; return the channel."""
    sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
    protocol = ClientProtocol(
        parse_uri(f'ws://{address}/peer'), max_size=MAX_FRAME_BYTES
    )
    channel = Channel(sock, protocol)
    opening = protocol.connect()
    opening.headers[FORM_HEADER] = str(FORM)
    protocol.send_request(opening)
    await channel.flush()
    while protocol.state is State.CONNECTING:
        await channel.receive()
        check_upgrade(channel)
    return channel


def check_upgrade(channel: Channel) -> None:
    """Raise ChannelClosed if the peer refused the upgrade."""
    for event in channel.protocol.events_received():
        if isinstance(event, Frame):
            channel.frames.append(bytes(event.data))
        elif isinstance(event, Response):
            channel.form = read_form(event.headers.get(FORM_HEADER))
        else:
            raise ChannelClosed
    if channel.protocol.handshake_exc is not None:
        raise ChannelClosed


async def accept_channel(sock: Any) -> Channel:
    """Perform the server side of the websocket upgrade; return the channel."""
    sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
    protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
    channel = Channel(sock, protocol)
    while protocol.state is State.CONNECTING:
        await channel.receive()
        for event in protocol.events_received():
            if isinstance(event, Request):
                channel.form = read_form(event.headers.get(FORM_HEADER))
                response = protocol.accept(event)
                response.headers[FORM_HEADER] = str(FORM)
                protocol.send_response(response)
        if protocol.handshake_exc is not None:
            raise ChannelClosed
    await channel.flush()
    return channel
