"""CBOR encoding of messages; decoding checks every field.

A frame is `[type number, correlation id, field, ...]`. Correlation id 0 is a
notice; a positive one a request; a negative one the reply to it. A data class
inside a field is the list of its fields under `PARTS_TAG`.
"""

from dataclasses import dataclass, fields
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs
from returns.result import Failure, Result, Success

from turmericyard_protocol.errors import MalformedMessage
from turmericyard_protocol.message_types import MESSAGE_TYPES

#: Longest frame accepted from a peer, in bytes.
MAX_FRAME_BYTES = 2_097_152
HEADER_ITEMS = 2
#: CBOR tag of a nested data class, of the tags that are free for any use.
PARTS_TAG = 40_101


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its correlation id."""

    correlation: int
    payload: Any


TYPE_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}
#: Fields of the data classes seen so far.
FIELD_NAMES: dict[type[Any], tuple[str, ...]] = {}
ADAPTERS = {kind: TypeAdapter(kind) for kind in TYPE_NUMBERS}


def encode(payload: Any, correlation: int = 0) -> bytes:
    """Return the frame of a registered message."""
    kind = type(payload)
    frame = [TYPE_NUMBERS[kind], correlation]
    frame.extend(getattr(payload, name) for name in field_names(kind))
    return cbor2.dumps(frame, default=encode_dataclass)


def encode_dataclass(encoder: Any, value: Any) -> None:
    """Encode a nested data class."""
    parts = [getattr(value, name) for name in field_names(type(value))]
    encoder.encode(cbor2.CBORTag(PARTS_TAG, parts))


def field_names(kind: type[Any]) -> tuple[str, ...]:
    """Return the names of a data class's fields in their order."""
    if kind not in FIELD_NAMES:
        FIELD_NAMES[kind] = tuple(each.name for each in fields(kind))
    return FIELD_NAMES[kind]


def decode_tag(tag: cbor2.CBORTag, _immutable: bool) -> Any:
    """Return the parts of a nested data class as its arguments."""
    if tag.tag == PARTS_TAG and isinstance(tag.value, list | tuple):
        return ArgsKwargs(tuple(tag.value))
    return tag


def decode(frame: bytes) -> Result[Envelope, MalformedMessage]:
    """Return the checked message of a frame; never raises."""
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(MalformedMessage('frame too long'))
    try:
        loaded = cbor2.loads(frame, tag_hook=decode_tag)
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
    names = field_names(kind)
    if len(names) != len(parts):
        return Failure(MalformedMessage(f'{kind.__name__}: field count'))
    try:
        payload = ADAPTERS[kind].validate_python(
            dict(zip(names, parts, strict=True))
        )
    except ValidationError as error:
        first = error.errors()[0]
        return Failure(
            MalformedMessage(f'{kind.__name__}: {first["loc"]} {first["msg"]}')
        )
    return Success(Envelope(correlation, payload))
