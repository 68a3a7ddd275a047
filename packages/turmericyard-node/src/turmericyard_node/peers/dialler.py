"""Opens authenticated connections to peers."""

from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_http.clock import boot_seconds
from turmericyard_node.events import Event, log_event
from turmericyard_node.peers.channel import (
    Channel,
    ChannelClosed,
    connect_channel,
)
from turmericyard_node.peers.exit_detector import ExitDetector
from turmericyard_node.peers.handshake import authenticate_dialled
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.link import PeerLink

#: Time limit of a connection attempt, and of its handshake.
DIAL_TIMEOUT_SECONDS = 0.5
DIAL_ERRORS = (OSError, ChannelClosed, curio.TaskTimeout)


@dataclass(slots=True)
class Traffic:
    """Bytes and messages sent on connections that are closed."""

    bytes_sent: int = 0
    frames_sent: int = 0

    def add_closed(self, channel: Channel) -> None:
        """Add the counts of a channel that is being closed."""
        self.bytes_sent += channel.bytes_sent
        self.frames_sent += channel.frames_sent


@dataclass(slots=True)
class Dialler:
    """Connects to peers by node name; reports outcomes to `exit_detector`."""

    identity: Identity
    source: str
    exit_detector: ExitDetector
    traffic: Traffic

    async def open_link(
        self, node: str, address: str | None
    ) -> PeerLink | None:
        """Connect to a peer and authenticate; return None on failure.

        `address` is None when the peer's address is unknown.
        """
        if address is None:
            return None
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_SECONDS):
                channel = await connect_channel(address, self.source)
        except ConnectionRefusedError:
            self.exit_detector.connection_refused(node, boot_seconds())
            return None
        except DIAL_ERRORS:
            return None
        self.exit_detector.connection_accepted(node)
        link = await self.authenticate(node, channel)
        if link is None:
            self.traffic.add_closed(channel)
            await channel.close()
        return link

    async def authenticate(
        self, node: str, channel: Channel
    ) -> PeerLink | None:
        """Return the link, or None unless the peer proves to be `node`."""
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_SECONDS):
                peer = await authenticate_dialled(channel, self.identity)
        except DIAL_ERRORS:
            return None
        if not isinstance(peer, Success):
            log_event(Event.PEER_REFUSED, message=peer.failure().message)
            return None
        found = peer.unwrap()
        if found.node != node:
            return None
        return PeerLink(
            node, found.incarnation, channel, self.exit_detector.stream_ended
        )
