"""Connections to all peers, dialled on demand.

Each node sends its requests over the connections that it dialled and answers
those that it accepted.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio
from returns.result import Failure, Result, Success

from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.peers.channel import (
    ANY_SOURCE,
    Channel,
    ChannelClosed,
    accept_channel,
)
from turmericyard_node.peers.dialler import DIAL_ERRORS, Dialler, Traffic
from turmericyard_node.peers.endings import PeerEndings
from turmericyard_node.peers.handshake import authenticate_accepted
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.link import PeerLink
from turmericyard_protocol.codec import Envelope, decode, encode
from turmericyard_protocol.errors import PeerError, PeerUnreachable

HANDSHAKE_TIMEOUT_SECONDS = 2
REQUEST_TIMEOUT_SECONDS = 0.5

Receiver = Callable[[Any, str], Awaitable[Any]]


@dataclass(slots=True)
class PeerMesh:
    """Sends messages to peers by node name.

    `stopping` says that this process does nothing more that a permit or a
    loan allows; the end of its streams may then show its end. Connections
    leave from the IP address `source`. With `watches_ends` each peer has a
    lifeline: a second connection on which this node sends nothing after the
    handshake. The kernel resets the streams of a killed process on which bytes
    were unread, which proves nothing; the lifeline has none and ends in order.
    """

    identity: Identity
    receiver: Receiver
    source: str = ANY_SOURCE
    addresses: dict[str, str] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    dialling: dict[str, Any] = field(default_factory=dict)
    accepted: set[Channel] = field(default_factory=set)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    endings: PeerEndings = field(default_factory=PeerEndings)
    watches_ends: bool = False
    lifelines: dict[str, PeerLink] = field(default_factory=dict)
    stopping: bool = False
    traffic: Traffic = field(default_factory=Traffic)
    dialler: Dialler = field(init=False)

    def __post_init__(self) -> None:
        """Let the dialler work with the same endings and counts."""
        self.dialler = Dialler(
            self.identity,
            self.source,
            self.endings,
            self.traffic,
        )

    async def request(
        self,
        node: str,
        payload: Any,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> Result[Any, PeerError]:
        """Send a request and return the peer's reply."""
        link = await self.link_to(node)
        if link is None:
            return Failure(PeerUnreachable(node))
        return await link.request(payload, timeout_seconds)

    async def send(self, node: str, payload: Any) -> Result[None, PeerError]:
        """Send a notice that needs no reply."""
        return await self.send_frame(node, encode(payload))

    async def send_frame(
        self, node: str, frame: bytes
    ) -> Result[None, PeerError]:
        """Send a notice that was encoded once for several peers."""
        link = await self.link_to(node)
        if link is None:
            return Failure(PeerUnreachable(node))
        return await link.notify(frame)

    async def drop(self, node: str) -> None:
        """Close the link to a peer; the next message dials again."""
        link = self.links.pop(node, None)
        if link is not None:
            self.traffic.retire(link.channel)
            await link.close()

    async def link_to(self, node: str) -> PeerLink | None:
        """Return the open link to a peer, dialling when there is none."""
        link = self.links.get(node)
        if link is not None and not link.closed:
            return link
        lock = self.dialling.setdefault(node, curio.Lock())
        async with lock:
            link = self.links.get(node)
            if link is not None and not link.closed:
                return link
            return await self.dial(node)

    async def dial(self, node: str) -> PeerLink | None:
        """Open a link for messages to a peer; None when that fails."""
        link = await self.dialler.open_link(node, self.addresses.get(node))
        if link is None:
            return None
        earlier = self.links.get(node)
        if earlier is not None:
            self.traffic.retire(earlier.channel)
        self.links[node] = link
        await self.tasks.spawn(link.read_replies)
        if self.watches_ends:
            await self.open_lifeline(node, link.incarnation)
        return link

    async def open_lifeline(self, node: str, incarnation: str) -> None:
        """Open a connection that only shows a peer's end, unless there is one.

        A lifeline that is lost opens again with the next link to the peer.
        """
        earlier = self.lifelines.get(node)
        if earlier is not None and earlier.incarnation == incarnation:
            return
        lifeline = await self.dialler.open_link(node, self.addresses.get(node))
        if lifeline is not None:
            self.lifelines[node] = lifeline
            await self.tasks.spawn(self.hold_lifeline, lifeline)

    async def hold_lifeline(self, lifeline: PeerLink) -> None:
        """Wait for the end of a lifeline."""
        try:
            await lifeline.read_replies()
        finally:
            self.traffic.retire(lifeline.channel)
            if self.lifelines.get(lifeline.node) is lifeline:
                self.lifelines.pop(lifeline.node)

    async def serve(self, listener: Any) -> None:
        """Accept peers until cancelled."""
        async with listener:
            while True:
                sock, _ = await listener.accept()
                await self.tasks.spawn(self.serve_peer, sock)

    async def serve_peer(self, sock: Any) -> None:
        """Authenticate one accepted peer and answer its messages."""
        async with sock:
            try:
                async with curio.timeout_after(HANDSHAKE_TIMEOUT_SECONDS):
                    channel = await accept_channel(sock)
                    peer = await authenticate_accepted(channel, self.identity)
            except DIAL_ERRORS:
                return
            if isinstance(peer, Success):
                await self.answer_channel(channel, peer.unwrap().node)
            else:
                self.traffic.retire(channel)
                log_event(Event.PEER_REFUSED, message=peer.failure().message)

    async def answer_channel(self, channel: Channel, node: str) -> None:
        """Answer a peer's messages until its channel ends."""
        self.accepted.add(channel)
        try:
            await self.read_messages(channel, node)
        except (OSError, ChannelClosed):
            return
        finally:
            self.accepted.discard(channel)
            await self.end_accepted(channel)

    async def end_accepted(self, channel: Channel) -> None:
        """Close a channel that its own task has read to the end."""
        self.traffic.retire(channel)
        if not self.stopping:
            await channel.say_goodbye()
        await channel.close()

    async def read_messages(self, channel: Channel, node: str) -> None:
        """Start a task for each message; ends at a malformed one."""
        while True:
            decoded = decode(await channel.read())
            if not isinstance(decoded, Success):
                log_event(
                    Event.PEER_MALFORMED,
                    peer=node,
                    message=decoded.failure().message,
                )
                return
            await self.tasks.spawn(self.answer, channel, node, decoded.unwrap())

    async def answer(
        self, channel: Channel, node: str, envelope: Envelope
    ) -> None:
        """Handle one message and send its reply."""
        reply = await self.receiver(envelope.payload, node)
        if envelope.correlation <= 0 or reply is None:
            return
        try:
            await channel.send(encode(reply, -envelope.correlation))
        except (OSError, ChannelClosed):
            return

    def sent_bytes(self) -> int:
        """Return all bytes sent to peers since the start."""
        open_bytes = sum(channel.bytes_sent for channel in open_channels(self))
        return self.traffic.bytes_sent + open_bytes

    def sent_messages(self) -> int:
        """Return all messages sent to peers since the start."""
        open_frames = sum(
            channel.frames_sent for channel in open_channels(self)
        )
        return self.traffic.frames_sent + open_frames

    async def close(self) -> None:
        """Close every link and end every task; the process acts no more."""
        self.stopping = True
        for node in list(self.links):
            await self.drop(node)
        await self.tasks.cancel_all()


def open_channels(mesh: PeerMesh) -> list[Channel]:
    """Return the channels to and from all peers."""
    links = (*mesh.links.values(), *mesh.lifelines.values())
    return [*(link.channel for link in links), *mesh.accepted]
