"""CBOR encoding of messages; decoding checks every field.

A frame is `[type number, correlation id, field, ...]`. Correlation id 0 is a
notice; a positive one a request; a negative one the reply to it. A message
inside a field is the list of its own fields.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from turmericyard_protocol.errors import MalformedMessage
from turmericyard_protocol.message_types import MESSAGE_TYPES

#: Longest frame accepted from a peer, in bytes.
MAX_FRAME_BYTES = 2_097_152
HEADER_ITEMS = 2


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its correlation id."""

    correlation: int
    payload: Any


TYPE_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}


def encode(payload: Any, correlation: int = 0) -> bytes:
    """Return the frame of a registered message."""
    parts = msgspec.to_builtins(payload, builtin_types=(bytes,))
    return cbor2.dumps([TYPE_NUMBERS[type(payload)], correlation, *parts])


def decode(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the checked message of a frame; never raises."""
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(MalformedMessage('frame too long'))
    try:
        loaded = cbor2.loads(frame)
    except Exception as error:  # noqa: BLE001  cbor2 passes on many kinds
        return Failure(MalformedMessage(f'CBOR: {type(error).__name__}'))
    if not is_frame(loaded):
        return Failure(MalformedMessage('not a frame'))
    return decode_fields(loaded[0], loaded[1], loaded[HEADER_ITEMS:])


def is_frame(loaded: Any) -> bool:
    """Return whether the value starts with two integers."""
    if not isinstance(loaded, list) or len(loaded) < HEADER_ITEMS:
        return False
    return all(
        isinstance(part, int) and not isinstance(part, bool)
        for part in loaded[:HEADER_ITEMS]
    )


def decode_fields(
    number: int, correlation: int, parts: list[Any]
) -> Result[Envelope, MalformedMessage]:
    """Return the message of a type number and its field values."""
    kind = MESSAGE_TYPES.get(number)
    if kind is None:
        return Failure(MalformedMessage(f'unknown type {number}'))
    if len(kind.__struct_fields__) != len(parts):
        return Failure(MalformedMessage(f'{kind.__name__}: field count'))
    try:
        payload = msgspec.convert(parts, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        return Failure(MalformedMessage(f'{kind.__name__}: {error}'))
    return Success(Envelope(correlation, payload))
