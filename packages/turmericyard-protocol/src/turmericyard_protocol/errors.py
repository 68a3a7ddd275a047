"""Errors of the protocol between nodes."""

from msgspec import Struct


class MalformedMessage(Struct, frozen=True):
    """A peer sent an invalid frame; the connection is closed."""

    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'malformed message ({self.detail}): check the peer version'


class UnknownMessageType(MalformedMessage, frozen=True):
    """A peer sent a message that this build does not know; it is skipped."""


class UnsupportedVersion(Struct, frozen=True):
    """A peer speaks another protocol version; the connection is closed."""

    theirs: int
    ours: int

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'peer speaks protocol {self.theirs}, this node {self.ours}: '
            'upgrade the older node'
        )


class PeerNotTrusted(Struct, frozen=True):
    """A peer does not hold the cluster secret."""

    node: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.node} failed the handshake: check its secret file'


class PeerUnreachable(Struct, frozen=True):
    """No connection to the peer is open; nothing was sent."""

    node: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'no connection to {self.node}: try another node'


class PeerOutdated(Struct, frozen=True):
    """The peer's build does not know the message; nothing was sent."""

    node: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'{self.node} does not know this message: upgrade it'


class PeerTimeout(Struct, frozen=True):
    """The message was sent, but no reply came before the timeout."""

    node: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'no reply from {self.node}: it may have acted'


PeerError = PeerUnreachable | PeerOutdated | PeerTimeout
DecodeError = MalformedMessage | UnsupportedVersion
