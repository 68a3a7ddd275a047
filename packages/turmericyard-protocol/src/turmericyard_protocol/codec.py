"""CBOR encoding of messages; decoding checks every field.

A frame is `[type number, correlation id, field, ...]`. Correlation id 0 is a
notice; a positive one a request; a negative one the reply to it. A message
inside a field is the list of its own fields. Longer frames are compressed with
zlib; its first byte begins no CBOR array, so that frames tell which they are.
"""

import zlib
from dataclasses import dataclass
from typing import Any

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from turmericyard_protocol.errors import MalformedMessage
from turmericyard_protocol.message_types import MESSAGE_TYPES

#: Longest frame accepted from a peer, in bytes, also once it is expanded.
MAX_FRAME_BYTES = 2_097_152
#: Frames of this length or longer are compressed, in bytes: shorter ones, such
#: as the handshake and permits, fit into one packet as they are.
COMPRESSED_FROM_BYTES = 1024
#: The quickest level: records repeat each other, which every level finds.
COMPRESSION_LEVEL = 1
#: First byte of a zlib stream with the default window.
ZLIB_START = 0x78
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
    frame = cbor2.dumps([TYPE_NUMBERS[type(payload)], correlation, *parts])
    if len(frame) < COMPRESSED_FROM_BYTES:
        return frame
    return zlib.compress(frame, COMPRESSION_LEVEL)


def decode(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the checked message of a frame; never raises."""
    if frame[:1] == bytes((ZLIB_START,)):
        return expand(frame).bind(decode_plain)
    return decode_plain(frame)


def expand(frame: bytes) -> Result[bytes, MalformedMessage]:
    """Return a compressed frame as it was, to a byte past the longest."""
    expander = zlib.decompressobj()
    try:
        plain = expander.decompress(frame, MAX_FRAME_BYTES + 1)
    except zlib.error:
        return Failure(MalformedMessage('compressed: error'))
    if len(plain) > MAX_FRAME_BYTES:
        return Success(plain)
    if not expander.eof:
        return Failure(MalformedMessage('compressed: cut short'))
    if expander.unused_data:
        return Failure(MalformedMessage('compressed: bytes after'))
    return Success(plain)


def decode_plain(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the checked message of a frame that is not compressed."""
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
