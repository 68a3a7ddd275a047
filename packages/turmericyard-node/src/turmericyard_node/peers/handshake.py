"""Mutual authentication of two peers over a new channel."""

from typing import Any

from returns.result import Failure, Result, Success

from turmericyard_node.peers.channel import Channel
from turmericyard_node.peers.identity import Identity
from turmericyard_protocol.codec import decode, encode
from turmericyard_protocol.errors import MalformedMessage
from turmericyard_protocol.handshake import (
    HandshakeError,
    check_hello,
    check_welcome,
    create_challenge,
    create_hello,
    create_welcome,
)
from turmericyard_protocol.messages import Challenge, Hello, Welcome

AnyHandshakeError = HandshakeError | MalformedMessage


async def read_expected(channel: Channel, kind: type[Any]) -> Any:
    """Return the next message, or None if it is not of type `kind`."""
    envelope = decode(await channel.read()).value_or(None)
    if envelope is None or not isinstance(envelope.payload, kind):
        return None
    return envelope.payload


async def authenticate_dialled(
    channel: Channel, identity: Identity
) -> Result[Challenge, AnyHandshakeError]:
    """Authenticate as the connecting side; return the peer's identity."""
    challenge = await read_expected(channel, Challenge)
    if challenge is None:
        return Failure(MalformedMessage('challenge expected'))
    hello = create_hello(
        identity.secret, identity.node, identity.incarnation, challenge
    )
    await channel.send(encode(hello))
    welcome = await read_expected(channel, Welcome)
    if welcome is None:
        return Failure(MalformedMessage('welcome expected'))
    return check_welcome(identity.secret, challenge, hello, welcome)


async def authenticate_accepted(
    channel: Channel, identity: Identity
) -> Result[Hello, AnyHandshakeError]:
    """Authenticate as the accepting side; return the peer's identity."""
    challenge = create_challenge(identity.node, identity.incarnation)
    await channel.send(encode(challenge))
    hello = await read_expected(channel, Hello)
    if hello is None:
        return Failure(MalformedMessage('hello expected'))
    checked = check_hello(identity.secret, challenge, hello)
    if isinstance(checked, Success):
        welcome = create_welcome(identity.secret, challenge, hello)
        await channel.send(encode(welcome))
    return checked
