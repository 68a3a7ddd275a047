"""Steps for the messages between nodes."""

import zlib
from typing import Any

import cbor2
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import seed, settings
from hypothesis import strategies as st
from msgspec.structs import fields, replace
from returns.result import Failure, Success

from turmericyard_protocol.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    decode,
    encode,
)
from turmericyard_protocol.errors import MalformedMessage
from turmericyard_protocol.fleet_messages import (
    FleetBeat,
    HubUpdate,
    StoreItem,
)
from turmericyard_protocol.handshake import (
    check_hello,
    check_welcome,
    create_challenge,
    create_hello,
    create_welcome,
)
from turmericyard_protocol.message import Message
from turmericyard_protocol.message_types import MESSAGE_TYPES
from turmericyard_protocol.messages import PROTOCOL_VERSION

SECRET = b'the cluster secret'
SEED = 20261204
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)
FRAMES = st.builds(
    lambda number, correlation, fields: [number, correlation, *fields],
    st.integers(0, 40),
    st.integers(-5, 5),
    st.lists(VALUES, max_size=10),
)


@when('{count:d} generated messages of every type are encoded and decoded')
def step_round_trip(context: Context, count: int) -> None:
    context.pairs = []

    def check(message: Any, correlation: int) -> None:
        decoded = decode(encode(message, correlation)).unwrap()
        context.pairs.append((decoded, Envelope(correlation, message)))

    for kind in MESSAGE_TYPES.values():
        examples = settings(
            max_examples=count // 10, database=None, deadline=None
        )
        strategy = property_given(
            messages_of(kind), st.integers(-(2**31), 2**31)
        )
        seed(SEED)(examples(strategy(check)))()


def messages_of(kind: type[Message]) -> st.SearchStrategy[Any]:
    """Return a strategy of messages; hypothesis cannot infer their types."""
    for each in Message.__subclasses__():
        st.register_type_strategy(each, fields_strategy)
    return st.from_type(kind)


def fields_strategy(kind: type[Message]) -> st.SearchStrategy[Any]:
    parts = {each.name: st.from_type(each.type) for each in fields(kind)}
    return st.builds(kind, **parts)


@when('{count:d} arbitrary byte strings are decoded as frames')
def step_bytes(context: Context, count: int) -> None:
    decode_all(context, st.binary(max_size=200), count)


@when('{count:d} arbitrary CBOR values are decoded as frames')
def step_values(context: Context, count: int) -> None:
    decode_all(context, (VALUES | FRAMES).map(cbor2.dumps), count)


def decode_all(
    context: Context, frames: st.SearchStrategy[bytes], count: int
) -> None:
    context.decoded = []

    @seed(SEED)
    @settings(max_examples=count, database=None, deadline=None)
    @property_given(frames)
    def run(frame: bytes) -> None:
        context.decoded.append(decode(frame))

    run()


@given('a peer with {fault}')
def step_peer(context: Context, fault: str) -> None:
    context.fault = fault


@when('the peer does the handshake with an accepting node')
def step_handshake(context: Context) -> None:
    challenge = create_challenge('node-1', 'first')
    secret = b'other' if context.fault == 'another secret' else SECRET
    hello = create_hello(secret, 'node-2', 'first', challenge)
    if context.fault == 'another protocol version':
        hello = replace(hello, version=PROTOCOL_VERSION + 1)
    if context.fault == 'a replayed proof':
        challenge = create_challenge('node-1', 'first')
    context.handshake = check_hello(SECRET, challenge, hello)


@when('a connecting node receives a welcome from a node with another secret')
def step_welcome(context: Context) -> None:
    challenge = create_challenge('node-1', 'first')
    hello = create_hello(SECRET, 'node-2', 'first', challenge)
    welcome = create_welcome(b'other', challenge, hello)
    context.handshake = check_welcome(SECRET, challenge, hello, welcome)


@then('each one is equal to the original')
def step_equal(context: Context) -> None:
    assert len(context.pairs) >= len(MESSAGE_TYPES)
    for decoded, original in context.pairs:
        assert decoded == original, (decoded, original)


@then('each one is a message or a typed error')
def step_typed(context: Context) -> None:
    assert context.decoded
    for outcome in context.decoded:
        if isinstance(outcome, Success):
            assert isinstance(outcome.unwrap(), Envelope)
        else:
            assert isinstance(outcome.failure(), MalformedMessage)


@then('the handshake fails as "{error}"')
def step_fails(context: Context, error: str) -> None:
    assert isinstance(context.handshake, Failure)
    failure = context.handshake.failure()
    assert type(failure).__name__ == error
    assert failure.message


def update_of(count: int) -> HubUpdate:
    """Return a full update with endpoint records like the platform's."""
    items = tuple(
        StoreItem(
            f'runner/i-{number}',
            b'{"address": "10.0.%d.%d:8000", "zone": "z-%d", "service":'
            b' "engines", "capacity": 24000, "state": "ready"}'
            % (number // 250, number % 250, number % 3),
            1000 + number,
        )
        for number in range(count)
    )
    return HubUpdate(1, True, (), None, 2000, 10, False, items)


@when("a hub's update with {count:d} endpoints and a heartbeat are encoded")
def step_encode(context: Context, count: int) -> None:
    context.update = update_of(count)
    context.heartbeat = FleetBeat(1, 2, True, (), ())
    context.update_frame = encode(context.update)
    context.heartbeat_frame = encode(context.heartbeat)


@then('the frame of the update is shorter than a third of its CBOR')
def step_third(context: Context) -> None:
    uncompressed = zlib.decompress(context.update_frame)
    assert len(cbor2.loads(uncompressed)) > 2
    assert len(context.update_frame) < len(uncompressed) / 3, len(
        context.update_frame
    )


@then('the frame of the heartbeat is its uncompressed CBOR')
def step_plain(context: Context) -> None:
    assert cbor2.loads(context.heartbeat_frame)[2] == 1


@then('both are decoded to the original messages')
def step_both(context: Context) -> None:
    assert decode(context.update_frame).unwrap().payload == context.update
    assert decode(context.heartbeat_frame).unwrap().payload == context.heartbeat


def corrupt_frame(fault: str) -> bytes:
    frame = zlib.compress(cbor2.dumps([8, 0, 'x' * 5000]))
    if fault == 'ends early':
        return frame[:-5]
    if fault == 'has bytes after its end':
        return frame + b'more'
    if fault == 'has a wrong byte':
        middle = len(frame) // 2
        return frame[:middle] + b'\xff\xff' + frame[middle + 2 :]
    return zlib.compress(bytes(100 * MAX_FRAME_BYTES))


@when('a compressed frame that {fault} is decoded')
def step_decode_corrupt(context: Context, fault: str) -> None:
    context.decoded = decode(corrupt_frame(fault))


@then('the decoding fails with "{error}"')
def step_decoding_fails(context: Context, error: str) -> None:
    failure = context.decoded.failure()
    assert isinstance(failure, MalformedMessage)
    assert failure.detail == error, failure.detail
