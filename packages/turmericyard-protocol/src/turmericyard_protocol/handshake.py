"""Mutual authentication with the cluster secret.

The accepting side sends a nonce. The connecting side replies with an HMAC over
that nonce and with a nonce of its own. The accepting side replies with an HMAC
over the second nonce.
"""

import hmac
import secrets
from hashlib import sha256

from returns.result import Failure, Result, Success

from turmericyard_protocol.errors import PeerNotTrusted, UnsupportedVersion
from turmericyard_protocol.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Welcome,
)

NONCE_BYTES = 16

HandshakeError = PeerNotTrusted | UnsupportedVersion


def create_challenge(node: str, incarnation: str) -> Challenge:
    """Return the accepting side's first message."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Challenge(PROTOCOL_VERSION, node, incarnation, nonce)


def create_hello(
    secret: bytes, node: str, incarnation: str, challenge: Challenge
) -> Hello:
    """Return the connecting side's reply to a challenge."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = compute_proof(secret, challenge.nonce, node, incarnation)
    return Hello(PROTOCOL_VERSION, node, incarnation, nonce, proof)


def create_welcome(
    secret: bytes, challenge: Challenge, hello: Hello
) -> Welcome:
    """Return the accepting side's reply to a hello."""
    return Welcome(
        compute_proof(
            secret, hello.nonce, challenge.node, challenge.incarnation
        )
    )


def check_hello(
    secret: bytes, challenge: Challenge, hello: Hello
) -> Result[Hello, HandshakeError]:
    """Return the hello when its version and its proof are valid."""
    if hello.version != PROTOCOL_VERSION:
        return Failure(UnsupportedVersion(hello.version, PROTOCOL_VERSION))
    expected = compute_proof(
        secret, challenge.nonce, hello.node, hello.incarnation
    )
    if not hmac.compare_digest(expected, hello.proof):
        return Failure(PeerNotTrusted(hello.node))
    return Success(hello)


def check_welcome(
    secret: bytes, challenge: Challenge, hello: Hello, welcome: Welcome
) -> Result[Challenge, HandshakeError]:
    """Return the challenge when the proof of the welcome is valid."""
    expected = create_welcome(secret, challenge, hello)
    if not hmac.compare_digest(expected.proof, welcome.proof):
        return Failure(PeerNotTrusted(challenge.node))
    return Success(challenge)


def compute_proof(
    secret: bytes, nonce: bytes, node: str, incarnation: str
) -> bytes:
    """Return the HMAC over a nonce and the identity of its sender."""
    parts = (nonce, node.encode(), incarnation.encode())
    message = b''.join(len(part).to_bytes(2, 'big') + part for part in parts)
    return hmac.new(secret, message, sha256).digest()
