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
from turmericyard_node.peers.endings import PeerEndings
from turmericyard_node.peers.handshake import authenticate_dialled
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.link import PeerLink

#: Longest time for a connection and for its handshake, in seconds each.
DIAL_TIMEOUT_SECONDS = 0.5
DIAL_ERRORS = (OSError, ChannelClosed, curio.TaskTimeout)


@dataclass(slots=True)
class Traffic:
    """Bytes and messages sent on connections that have ended."""

    bytes_sent: int = 0
    frames_sent: int = 0

    def retire(self, channel: Channel) -> None:
        """Count what was sent on a channel that ends."""
        self.bytes_sent += channel.bytes_sent
        self.frames_sent += channel.frames_sent


@dataclass(slots=True)
class Dialler:
    """Connects to peers by node name and tells `endings` what it saw."""

    identity: Identity
    source: str
    endings: PeerEndings
    traffic: Traffic

    async def open_link(
        self, node: str, address: str | None
    ) -> PeerLink | None:
        """Connect to a peer and authenticate; None when that fails.

        An unknown address is None.
        """
        if address is None:
            return None
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_SECONDS):
                channel = await connect_channel(address, self.source)
        except ConnectionRefusedError:
            self.endings.refused(node, boot_seconds())
            return None
        except DIAL_ERRORS:
            return None
        self.endings.connected(node)
        link = await self.authenticate(node, channel)
        if link is None:
            self.traffic.retire(channel)
            await channel.close()
        return link

    async def authenticate(
        self, node: str, channel: Channel
    ) -> PeerLink | None:
        """Return the link when the peer is the node that was dialled."""
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
            node, found.incarnation, channel, self.endings.stream_ended
        )
