"""Connections to all peers, opened on demand.

Each node sends its requests over the connections that it dialled, and answers
the requests that arrive on the connections that it accepted.
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
from turmericyard_node.peers.exit_detector import ExitDetector
from turmericyard_node.peers.handshake import authenticate_accepted
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.link import PeerLink
from turmericyard_protocol.codec import Envelope, decode, encode
from turmericyard_protocol.errors import (
    MalformedMessage,
    PeerError,
    PeerOutdated,
    PeerUnreachable,
    UnknownMessageType,
)
from turmericyard_protocol.forms import FIRST_FORM, is_known
from turmericyard_protocol.tunnel_messages import TunnelOpen

HANDSHAKE_TIMEOUT_SECONDS = 2
REQUEST_TIMEOUT_SECONDS = 0.5

MessageHandler = Callable[[Any, str], Awaitable[Any]]
#: Serves a tunnel on a channel until it ends.
TunnelHandler = Callable[[Channel, TunnelOpen], Awaitable[None]]


async def ignore_tunnel(_channel: Channel, _request: TunnelOpen) -> None:
    """Serve no tunnel."""


@dataclass(slots=True)
class PeerMesh:
    """Sends messages to peers by node name.

    Outgoing connections are bound to the IP address `source`. While
    `stopping`, this process no longer does anything that needs a permit or a
    loan, so that its streams may end without a close frame.

    With `detects_exits`, this node keeps a second connection to each peer, the
    monitor link, on which it sends nothing after the handshake. When a process
    is killed, the kernel resets its streams with unread bytes, which does not
    show an exit. A monitor link never has unread bytes, so it ends in an
    orderly way.
    """

    identity: Identity
    receiver: MessageHandler
    source: str = ANY_SOURCE
    serve_tunnel: TunnelHandler = ignore_tunnel
    addresses: dict[str, str] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    dial_locks: dict[str, Any] = field(default_factory=dict)
    accepted: set[Channel] = field(default_factory=set)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    exit_detector: ExitDetector = field(default_factory=ExitDetector)
    detects_exits: bool = False
    monitor_links: dict[str, PeerLink] = field(default_factory=dict)
    stopping: bool = False
    traffic: Traffic = field(default_factory=Traffic)
    dialler: Dialler = field(init=False)

    def __post_init__(self) -> None:
        """Create the dialler, which shares the exit detector and the counts."""
        self.dialler = Dialler(
            self.identity,
            self.source,
            self.exit_detector,
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
        """Send a notice; it has no reply."""
        link = await self.link_to(node)
        if link is None:
            return Failure(PeerUnreachable(node))
        form = link.channel.form
        if not is_known(type(payload), form):
            return Failure(PeerOutdated(node))
        return await link.notify(encode(payload, form=form))

    async def send_frame(
        self, node: str, frame: bytes
    ) -> Result[None, PeerError]:
        """Send an encoded notice, such as one encoded once for several peers."""
        link = await self.link_to(node)
        if link is None:
            return Failure(PeerUnreachable(node))
        return await link.notify(frame)

    async def drop(self, node: str) -> None:
        """Close the link to a peer; the next message opens a new one."""
        link = self.links.pop(node, None)
        if link is not None:
            self.traffic.add_closed(link.channel)
            await link.close()

    async def link_to(self, node: str) -> PeerLink | None:
        """Return the link to a peer; open one if there is none."""
        link = self.links.get(node)
        if link is not None and not link.closed:
            return link
        lock = self.dial_locks.setdefault(node, curio.Lock())
        async with lock:
            link = self.links.get(node)
            if link is not None and not link.closed:
                return link
            return await self.dial(node)

    async def dial(self, node: str) -> PeerLink | None:
        """Open a link for messages to a peer; return None on failure."""
        link = await self.dialler.open_link(node, self.addresses.get(node))
        if link is None:
            return None
        previous = self.links.get(node)
        if previous is not None:
            self.traffic.add_closed(previous.channel)
        self.links[node] = link
        await self.tasks.spawn(link.read_replies)
        if self.detects_exits:
            await self.open_monitor_link(node, link.incarnation)
        return link

    async def open_monitor_link(self, node: str, incarnation: str) -> None:
        """Open the monitor link to a peer unless it exists.

        A lost monitor link is opened again with the next link to the peer.
        """
        previous = self.monitor_links.get(node)
        if previous is not None and previous.incarnation == incarnation:
            return
        monitor_link = await self.dialler.open_link(
            node, self.addresses.get(node)
        )
        if monitor_link is not None:
            self.monitor_links[node] = monitor_link
            await self.tasks.spawn(self.read_monitor_link, monitor_link)

    async def read_monitor_link(self, monitor_link: PeerLink) -> None:
        """Read a monitor link until it closes."""
        try:
            await monitor_link.read_replies()
        finally:
            self.traffic.add_closed(monitor_link.channel)
            if self.monitor_links.get(monitor_link.node) is monitor_link:
                self.monitor_links.pop(monitor_link.node)

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
                self.traffic.add_closed(channel)
                log_event(Event.PEER_REFUSED, message=peer.failure().message)

    async def answer_channel(self, channel: Channel, node: str) -> None:
        """Answer a peer's messages until its channel closes."""
        self.accepted.add(channel)
        try:
            await self.read_messages(channel, node)
        except (OSError, ChannelClosed):
            return
        finally:
            self.accepted.discard(channel)
            await self.close_accepted(channel)

    async def close_accepted(self, channel: Channel) -> None:
        """Close an accepted channel; called by the task that reads it."""
        self.traffic.add_closed(channel)
        if not self.stopping:
            await channel.send_close_frame()
        await channel.close()

    async def read_messages(self, channel: Channel, node: str) -> None:
        """Start a task for each message; return at a malformed one.

        Messages of unknown types are skipped and logged once for the channel.
        """
        skipped = False
        while True:
            decoded = decode(await channel.read())
            if not isinstance(decoded, Success):
                error = decoded.failure()
                log_malformed(node, error, repeated=skipped)
                skipped = is_skippable(error)
                if skipped:
                    continue
                return
            envelope = decoded.unwrap()
            if isinstance(envelope.payload, TunnelOpen):
                await self.serve_tunnel(channel, envelope.payload)
                return
            await self.tasks.spawn(self.answer, channel, node, envelope)

    async def answer(
        self, channel: Channel, node: str, envelope: Envelope
    ) -> None:
        """Handle one message and send its reply."""
        reply = await self.receiver(envelope.payload, node)
        if envelope.correlation <= 0 or reply is None:
            return
        try:
            frame = encode(reply, -envelope.correlation, channel.form)
            await channel.send(frame)
        except (OSError, ChannelClosed):
            return

    def sent_bytes(self) -> int:
        """Return the number of bytes sent to peers since the start."""
        open_bytes = sum(channel.bytes_sent for channel in open_channels(self))
        return self.traffic.bytes_sent + open_bytes

    def sent_messages(self) -> int:
        """Return the number of messages sent to peers since the start."""
        open_frames = sum(
            channel.frames_sent for channel in open_channels(self)
        )
        return self.traffic.frames_sent + open_frames

    async def close(self) -> None:
        """Set `stopping`, close every link and cancel every task."""
        self.stopping = True
        for node in list(self.links):
            await self.drop(node)
        await self.tasks.cancel_all()


def log_malformed(
    node: str, error: MalformedMessage, *, repeated: bool
) -> None:
    """Log a message that was not understood; only the first that is skipped."""
    if not (repeated and is_skippable(error)):
        log_event(Event.PEER_MALFORMED, peer=node, message=error.message)


def is_skippable(error: MalformedMessage) -> bool:
    """Return whether the message is only of a type that is not known."""
    return isinstance(error, UnknownMessageType)


def form_of(mesh: PeerMesh, node: str) -> int:
    """Return the message form of a peer; the first while it is unknown."""
    link = mesh.links.get(node)
    return FIRST_FORM if link is None else link.channel.form


def is_linked(mesh: PeerMesh, node: str) -> bool:
    """Return whether there is an open link to a peer."""
    link = mesh.links.get(node)
    return link is not None and not link.closed


def open_channels(mesh: PeerMesh) -> list[Channel]:
    """Return the open channels to and from all peers."""
    links = (*mesh.links.values(), *mesh.monitor_links.values())
    return [*(link.channel for link in links), *mesh.accepted]
