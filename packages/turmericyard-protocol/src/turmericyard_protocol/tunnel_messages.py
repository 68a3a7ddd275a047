"""Messages of a tunnel: a connection to an endpoint through a peer.

A tunnel has a websocket of its own. Its first message opens it; after the reply,
both sides send data until one of them ends.
"""

from enum import Enum

from turmericyard_protocol.message import Message


class TunnelFailure(Enum):
    """Why a peer opens no tunnel."""

    #: The endpoint refuses connections.
    REFUSED = 'refused'
    #: The peer got no connection to the endpoint.
    UNREACHABLE = 'unreachable'
    #: The peer does not know the endpoint, or has too many tunnels.
    REJECTED = 'rejected'


class TunnelOpen(Message, frozen=True):
    """Asks a peer to connect to the endpoint at `address`."""

    address: str


class TunnelReply(Message, frozen=True):
    """Whether the peer has connected; `failure` is None if it has."""

    failure: TunnelFailure | None = None


class TunnelData(Message, frozen=True):
    """Bytes from or for the endpoint, in order."""

    data: bytes


class TunnelEnd(Message, frozen=True):
    """The endpoint closed its connection; `broken` if it was not in order."""

    broken: bool
