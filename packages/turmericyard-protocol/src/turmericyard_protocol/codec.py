"""Encodes messages as CBOR; decoding validates every field.

Fields that are missing at the end have their defaults, and later ones are
ignored, so that builds with other fields understand each other.

A frame is `[type number, correlation id, field, ...]`. Correlation id 0 marks a
notice, a positive id a request and the negated id the reply to it. A message
inside a field is the list of its own fields. Long frames are compressed with
zlib. No CBOR array starts with the first byte of a zlib stream, so the decoder
recognizes compressed frames by that byte.
"""

import zlib
from dataclasses import dataclass
from typing import Any

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from turmericyard_protocol.errors import (
    MalformedMessage,
    UnknownMessageType,
)
from turmericyard_protocol.forms import FORM, field_count
from turmericyard_protocol.message_types import MESSAGE_TYPES

#: Longest frame accepted from a peer, in bytes, before and after decompression.
MAX_FRAME_BYTES = 2_097_152
#: Frames of at least this many bytes are compressed; shorter ones, such as
#: those of the handshake and of permits, fit into one packet uncompressed.
COMPRESSION_THRESHOLD_BYTES = 1024
#: Fastest level; records repeat the same text, which every level compresses.
COMPRESSION_LEVEL = 1
#: First byte of a zlib stream with the default window.
ZLIB_FIRST_BYTE = 0x78
HEADER_ITEMS = 2


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its correlation id."""

    correlation: int
    payload: Any


TYPE_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}


def encode(payload: Any, correlation: int = 0, form: int = FORM) -> bytes:
    """Return the frame of a registered message for a peer of a form."""
    field_values = msgspec.to_builtins(payload, builtin_types=(bytes,))
    field_values = field_values[: field_count(type(payload), form)]
    frame = cbor2.dumps(
        [TYPE_NUMBERS[type(payload)], correlation, *field_values]
    )
    if len(frame) < COMPRESSION_THRESHOLD_BYTES:
        return frame
    return zlib.compress(frame, COMPRESSION_LEVEL)


def decode(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the validated message of a frame; never raises."""
    if frame[:1] == bytes((ZLIB_FIRST_BYTE,)):
        return decompress_frame(frame).bind(decode_uncompressed)
    return decode_uncompressed(frame)


def decompress_frame(frame: bytes) -> Result[bytes, MalformedMessage]:
    """Return the uncompressed frame.

    Output stops one byte past `MAX_FRAME_BYTES`, which is enough for the caller
    to reject the frame as too long.
    """
    decompressor = zlib.decompressobj()
    try:
        uncompressed = decompressor.decompress(frame, MAX_FRAME_BYTES + 1)
    except zlib.error:
        return Failure(MalformedMessage('compressed: corrupt data'))
    if len(uncompressed) > MAX_FRAME_BYTES:
        return Success(uncompressed)
    if not decompressor.eof:
        return Failure(MalformedMessage('compressed: truncated'))
    if decompressor.unused_data:
        return Failure(MalformedMessage('compressed: trailing bytes'))
    return Success(uncompressed)


def decode_uncompressed(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the validated message of an uncompressed frame."""
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(MalformedMessage('frame too long'))
    try:
        loaded = cbor2.loads(frame)
    except Exception as error:  # noqa: BLE001  cbor2 raises many types
        return Failure(MalformedMessage(f'CBOR: {type(error).__name__}'))
    if not has_frame_header(loaded):
        return Failure(MalformedMessage('not a frame'))
    return decode_fields(loaded[0], loaded[1], loaded[HEADER_ITEMS:])


def has_frame_header(loaded: Any) -> bool:
    """Return whether the value is a list that starts with two integers."""
    if not isinstance(loaded, list) or len(loaded) < HEADER_ITEMS:
        return False
    return all(
        isinstance(part, int) and not isinstance(part, bool)
        for part in loaded[:HEADER_ITEMS]
    )


def decode_fields(
    number: int, correlation: int, field_values: list[Any]
) -> Result[Envelope, MalformedMessage]:
    """Return the message of a type number and its field values."""
    kind = MESSAGE_TYPES.get(number)
    if kind is None:
        return Failure(UnknownMessageType(f'unknown type {number}'))
    try:
        payload = msgspec.convert(field_values, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        return Failure(MalformedMessage(f'{kind.__name__}: {error}'))
    return Success(Envelope(correlation, payload))
