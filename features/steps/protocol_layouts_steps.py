"""Steps for messages of builds with other fields."""

import json
import zlib
from pathlib import Path

import cbor2
import msgspec
from behave import then, when
from behave.runner import Context

from turmericyard_protocol.codec import (
    TYPE_NUMBERS,
    ZLIB_FIRST_BYTE,
    decode,
    encode,
)
from turmericyard_protocol.errors import UnknownMessageType
from turmericyard_protocol.fleet_messages import FleetBeat
from turmericyard_protocol.forms import FIRST_FORM, is_known
from turmericyard_protocol.message_types import MESSAGE_TYPES

#: Fields of each type by its number, as released; never edited but to append.
RELEASED = json.loads(
    (Path(__file__).parents[1] / 'support' / 'released_layouts.json').read_text(
        'utf-8'
    )
)
HINT = 'append fields with defaults and raise FORM in forms.py instead'
BEAT = FleetBeat(1, 2, True, (), ())


@when('messages of every type are encoded for a peer of form 1')
def step_encode(context: Context) -> None:
    from steps.protocol_codec_steps import messages_of

    context.counts = {}
    for number, kind in MESSAGE_TYPES.items():
        if is_known(kind, FIRST_FORM):
            message = messages_of(kind).example()
            frame = encode(message, form=FIRST_FORM)
            if frame[0] == ZLIB_FIRST_BYTE:
                frame = zlib.decompress(frame)
            loaded = cbor2.loads(frame)
            context.counts[str(number)] = len(loaded) - 2


@then('each frame has the released fields of its type')
def step_counts(context: Context) -> None:
    expected = {
        number: len(each['fields']) for number, each in RELEASED.items()
    }
    differing = {
        number: (count, expected[number])
        for number, count in context.counts.items()
        if count != expected[number]
    }
    assert not differing, differing


@then('each released layout is the beginning of the layout in use')
def step_prefix(context: Context) -> None:
    for number, each in RELEASED.items():
        kind = MESSAGE_TYPES[int(number)]
        assert kind.__name__ == each['name'], HINT
        known = list(kind.__struct_fields__)[: len(each['fields'])]
        assert known == each['fields'], (kind, HINT)


@then('the fields added since have defaults')
def step_defaults(context: Context) -> None:
    for number, each in RELEASED.items():
        fields = msgspec.structs.fields(MESSAGE_TYPES[int(number)])
        for added in fields[len(each['fields']) :]:
            assert not added.required, (number, added.name, HINT)


@when(
    'a heartbeat with {count:d} of its fields and one with {more:d} unknown ones'
    ' are decoded'
)
def step_decode(context: Context, count: int, more: int) -> None:
    values = msgspec.to_builtins(BEAT)
    number = TYPE_NUMBERS[FleetBeat]
    frames = ([number, 0, *values[:count]], [number, 0, *values, *range(more)])
    context.decoded = [decode(cbor2.dumps(frame)) for frame in frames]


@then('both are heartbeats with the fields that were sent')
def step_beats(context: Context) -> None:
    for decoded in context.decoded:
        assert decoded.unwrap().payload == BEAT


@when('a frame of type {number:d} is decoded')
def step_unknown(context: Context, number: int) -> None:
    context.outcome = decode(cbor2.dumps([number, 0, 'text']))


@then('the decoding fails as an unknown type')
def step_unknown_type(context: Context) -> None:
    assert isinstance(context.outcome.failure(), UnknownMessageType)
