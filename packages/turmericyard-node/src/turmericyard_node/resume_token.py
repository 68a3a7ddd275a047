"""Authenticated tokens with which a caller resumes a stream at any node."""

import binascii
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass
from hashlib import sha256

import orjson
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

MAC_BYTES = 16
MAC_CONTEXT = b'turmericyard resume token'
MAX_TOKEN_CHARACTERS = 2048


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a generation runs and its workspace; `node` started it."""

    request: str
    generation: str
    endpoint: str
    address: str
    node: str
    product: str
    workspace: str


@dataclass(frozen=True, slots=True)
class InvalidToken:
    """The token is forged, damaged or was issued to another workspace."""

    @property
    def message(self) -> str:
        """Return the error and its remedy."""
        return (
            'resume token not valid: send it unchanged, and for the workspace '
            'that it was issued to'
        )


RESUME_POINT_ADAPTER = TypeAdapter(ResumePoint)


def encode_token(secret: bytes, point: ResumePoint) -> str:
    """Return the token for a resume point, as URL-safe text."""
    payload = orjson.dumps(point)
    return urlsafe_b64encode(sign(secret, payload) + payload).decode()


def decode_token(
    secret: bytes, token: str, workspace: str
) -> Result[ResumePoint, InvalidToken]:
    """Return the resume point of an authentic token of the workspace."""
    if len(token) > MAX_TOKEN_CHARACTERS:
        return Failure(InvalidToken())
    try:
        raw = urlsafe_b64decode(token.encode())
    except (binascii.Error, ValueError):
        return Failure(InvalidToken())
    payload = raw[MAC_BYTES:]
    if not hmac.compare_digest(sign(secret, payload), raw[:MAC_BYTES]):
        return Failure(InvalidToken())
    try:
        point = RESUME_POINT_ADAPTER.validate_json(payload)
    except ValidationError:
        return Failure(InvalidToken())
    if point.workspace != workspace:
        return Failure(InvalidToken())
    return Success(point)


def sign(secret: bytes, payload: bytes) -> bytes:
    """Return the truncated HMAC of a payload."""
    digest = hmac.new(secret, MAC_CONTEXT, sha256)
    digest.update(payload)
    return digest.digest()[:MAC_BYTES]
