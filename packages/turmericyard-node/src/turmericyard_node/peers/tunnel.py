"""Tunnels: connections to endpoints through a peer that reaches them.

A tunnel has a websocket of its own, so that the flow control of TCP holds back
a sender whose receiver is slow, and no tunnel delays another.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import curio
from returns.result import Failure, Result, Success

from turmericyard_http.connection import (
    RECEIVE_BYTES,
    ClientConnection,
    Connect,
    connect,
    set_user_timeout,
)
from turmericyard_node.peers.channel import Channel, ChannelClosed
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_protocol.codec import decode, encode
from turmericyard_protocol.tunnel_messages import (
    TunnelData,
    TunnelEnd,
    TunnelFailure,
    TunnelOpen,
    TunnelReply,
)

#: Most tunnels that a node serves at a time: each takes two sockets and some
#: buffers of a process that serves its own clients as well.
MAX_TUNNELS = 256
#: Time limit for connecting to an endpoint for a peer, in seconds.
CONNECT_SECONDS = 0.08
#: Time for which bytes to an endpoint may stay unacknowledged, in seconds.
USER_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class TunnelSocket:
    """The socket of a connection that leads through a tunnel.

    The loss of the tunnel raises ConnectionResetError: it must not look like
    the orderly end of an answer.
    """

    channel: Channel
    is_ended: bool = False

    async def recv(self, _size: int) -> bytes:
        """Return the next bytes, empty at the end; raises OSError."""
        if self.is_ended:
            return b''
        payload = await read_payload(self.channel)
        if isinstance(payload, TunnelData):
            return payload.data
        if isinstance(payload, TunnelEnd) and not payload.broken:
            self.is_ended = True
            return b''
        raise ConnectionResetError('the tunnel or its connection was reset')

    async def sendall(self, data: bytes) -> None:
        """Send bytes; raises BrokenPipeError.

        Only the peer's last message says how the connection ended.
        """
        try:
            for offset in range(0, len(data), RECEIVE_BYTES):
                piece = data[offset : offset + RECEIVE_BYTES]
                await self.channel.send(encode(TunnelData(bytes(piece))))
        except (OSError, ChannelClosed) as error:
            raise BrokenPipeError('the tunnel was closed') from error

    async def shutdown(self, _how: int) -> None:
        """Make reads and sends fail."""
        await self.channel.abort()

    async def close(self) -> None:
        """Close the tunnel, which closes the connection behind it."""
        await self.channel.close()

    def fileno(self) -> int:
        """Return the descriptor of the tunnel's own socket."""
        descriptor: int = self.channel.sock.fileno()
        return descriptor


async def read_payload(channel: Channel) -> Any:
    """Return the next message, None for a malformed one or a closed tunnel.

    The last message may arrive together with the end of the tunnel.
    """
    try:
        frame = await channel.read()
    except (OSError, ChannelClosed):
        if not channel.frames:
            return None
        frame = channel.frames.popleft()
    envelope = decode(frame).value_or(None)
    return envelope.payload if envelope else None


async def open_tunnel(
    mesh: PeerMesh, node: str, address: str, user_timeout_seconds: float
) -> Result[ClientConnection, TunnelFailure]:
    """Return a connection to an endpoint that leads through a peer."""
    link = await mesh.dialler.open_link(node, mesh.addresses.get(node))
    if link is None:
        return Failure(TunnelFailure.REJECTED)
    channel = link.channel
    try:
        failure = await request_tunnel(channel, address, user_timeout_seconds)
    except BaseException:
        await channel.close()
        raise
    if failure is not None:
        await channel.close()
        return Failure(failure)
    return Success(ClientConnection(TunnelSocket(channel), address))


async def request_tunnel(
    channel: Channel, address: str, user_timeout_seconds: float
) -> TunnelFailure | None:
    """Ask a peer to connect to an endpoint; return why it did not."""
    if user_timeout_seconds:
        set_user_timeout(channel.sock, user_timeout_seconds)
    try:
        await channel.send(encode(TunnelOpen(address)))
    except (OSError, ChannelClosed):
        return TunnelFailure.REJECTED
    reply = await read_payload(channel)
    if isinstance(reply, TunnelReply):
        return reply.failure
    return TunnelFailure.REJECTED


@dataclass(slots=True)
class TunnelServer:
    """Serves tunnels to the addresses that `is_served` accepts.

    A tunnel is never passed on to another peer.
    """

    is_served: Callable[[str], bool]
    dial: Connect = connect
    open_tunnels: int = 0

    async def serve(self, channel: Channel, request: TunnelOpen) -> None:
        """Serve one tunnel until either side ends it."""
        if not self.may_serve(request.address):
            await reply(channel, TunnelFailure.REJECTED)
            return
        self.open_tunnels += 1
        try:
            await self.connect(channel, request.address)
        finally:
            self.open_tunnels -= 1

    def may_serve(self, address: str) -> bool:
        """Return whether one more tunnel may lead to an address."""
        return self.open_tunnels < MAX_TUNNELS and self.is_served(address)

    async def connect(self, channel: Channel, address: str) -> None:
        """Connect to the endpoint and forward both ways."""
        try:
            async with curio.timeout_after(CONNECT_SECONDS):
                connection = await self.dial(address, USER_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            await reply(channel, TunnelFailure.REFUSED)
            return
        except (OSError, curio.TaskTimeout):
            await reply(channel, TunnelFailure.UNREACHABLE)
            return
        returning = await curio.spawn(send_back, channel, connection)
        try:
            await reply(channel, None)
            await send_on(channel, connection)
        finally:
            await returning.cancel()
            await connection.close()


async def reply(channel: Channel, failure: TunnelFailure | None) -> None:
    """Send the reply to a request for a tunnel."""
    await channel.send(encode(TunnelReply(failure)))


async def send_on(channel: Channel, connection: ClientConnection) -> None:
    """Send the peer's bytes to the endpoint until the peer ends the tunnel.

    An endpoint that reads no more may still have an answer for the peer.
    """
    is_open = True
    payload = await read_payload(channel)
    while isinstance(payload, TunnelData):
        try:
            if is_open:
                await connection.write(payload.data)
        except OSError:
            is_open = False
        payload = await read_payload(channel)


async def send_back(channel: Channel, connection: ClientConnection) -> None:
    """Send the endpoint's bytes to the peer until the endpoint ends."""
    is_broken = False
    try:
        received = await connection.read()
        while received:
            await channel.send(encode(TunnelData(received)))
            received = await connection.read()
    except ChannelClosed:
        return
    except OSError:
        is_broken = True
    try:
        await channel.send(encode(TunnelEnd(is_broken)))
    except (OSError, ChannelClosed):
        return
