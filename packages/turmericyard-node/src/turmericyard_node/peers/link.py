"""Outgoing connection to one peer: requests, replies and notices."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
from returns.result import Failure, Result, Success

from turmericyard_node.events import Event, log_event
from turmericyard_node.peers.channel import (
    Channel,
    ChannelClosed,
    ChannelEnded,
)
from turmericyard_protocol.codec import Envelope, decode, encode
from turmericyard_protocol.errors import (
    PeerError,
    PeerOutdated,
    PeerTimeout,
    PeerUnreachable,
    UnknownMessageType,
)
from turmericyard_protocol.forms import is_known


class PendingReply:
    """The reply for which a request waits."""

    def __init__(self) -> None:
        self.arrived = curio.Event()
        self.payload: Any = None

    async def resolve(self, payload: Any) -> None:
        """Wake the waiting request; a payload of None means a lost link."""
        self.payload = payload
        await self.arrived.set()


def ignore_stream_end(node: str, incarnation: str) -> None:
    """Ignore the end of a link's stream."""


@dataclass(slots=True)
class PeerLink:
    """Sends requests and notices to one peer over one channel.

    `on_stream_ended` is called with the peer's node name and incarnation when
    its stream ends without a close frame.
    """

    node: str
    incarnation: str
    channel: Channel
    on_stream_ended: Callable[[str, str], None] = ignore_stream_end
    pending: dict[int, PendingReply] = field(default_factory=dict)
    next_correlation: int = 1
    closed: bool = False

    async def request(
        self, payload: Any, timeout_seconds: float
    ) -> Result[Any, PeerError]:
        """Send a request and return its reply."""
        if not is_known(type(payload), self.channel.form):
            return Failure(PeerOutdated(self.node))
        correlation = self.next_correlation
        self.next_correlation += 1
        reply = PendingReply()
        self.pending[correlation] = reply
        try:
            async with curio.timeout_after(timeout_seconds):
                await self.channel.send(
                    encode(payload, correlation, self.channel.form)
                )
                await reply.arrived.wait()
        except curio.TaskTimeout:
            return Failure(PeerTimeout(self.node))
        except (OSError, ChannelClosed):
            await self.close()
            return Failure(PeerTimeout(self.node))
        finally:
            self.pending.pop(correlation, None)
        if reply.payload is None:
            return Failure(PeerTimeout(self.node))
        return Success(reply.payload)

    async def notify(self, frame: bytes) -> Result[None, PeerError]:
        """Send an encoded notice; success does not confirm its receipt."""
        try:
            await self.channel.send(frame)
        except (OSError, ChannelClosed):
            await self.close()
            return Failure(PeerUnreachable(self.node))
        return Success(None)

    async def read_replies(self) -> None:
        """Pass replies to their requests until the channel closes."""
        try:
            while True:
                envelope = await self.next_envelope()
                if envelope is None:
                    return
                waiting = self.pending.get(-envelope.correlation)
                if waiting is not None:
                    await waiting.resolve(envelope.payload)
        except ChannelEnded:
            if not self.closed:
                self.on_stream_ended(self.node, self.incarnation)
        except (OSError, ChannelClosed):
            return
        finally:
            await self.close()
            await self.channel.close()

    async def next_envelope(self) -> Envelope | None:
        """Return the next message of a known type, None for a malformed one."""
        while True:
            decoded = decode(await self.channel.read())
            if isinstance(decoded, Success):
                envelope: Envelope = decoded.unwrap()
                return envelope
            error = decoded.failure()
            if not isinstance(error, UnknownMessageType):
                log_event(
                    Event.PEER_MALFORMED, peer=self.node, message=error.message
                )
                return None

    async def close(self) -> None:
        """Abort the channel and wake every waiting request."""
        if self.closed:
            return
        self.closed = True
        await self.channel.abort()
        for waiting in list(self.pending.values()):
            await waiting.resolve(None)
