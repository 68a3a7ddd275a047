"""Steps for the messages between nodes."""

from typing import Any

import cbor2
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import seed, settings
from hypothesis import strategies as st
from msgspec.structs import fields, replace
from returns.result import Failure, Success

from turmericyard_protocol.codec import Envelope, decode, encode
from turmericyard_protocol.errors import MalformedMessage
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
    """Return a strategy of messages; hypothesis cannot read their types."""
    for each in Message.__subclasses__():
        st.register_type_strategy(each, built)
    return st.from_type(kind)


def built(kind: type[Message]) -> st.SearchStrategy[Any]:
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


@when('it shakes hands with an accepting node')
def step_shake(context: Context) -> None:
    challenge = create_challenge('node-1', 'first')
    secret = b'other' if context.fault == 'another secret' else SECRET
    hello = create_hello(secret, 'node-2', 'first', challenge)
    if context.fault == 'another protocol version':
        hello = replace(hello, version=PROTOCOL_VERSION + 1)
    if context.fault == 'a replayed proof':
        challenge = create_challenge('node-1', 'first')
    context.shaken = check_hello(SECRET, challenge, hello)


@when('a connecting node gets the welcome of one with another secret')
def step_welcome(context: Context) -> None:
    challenge = create_challenge('node-1', 'first')
    hello = create_hello(SECRET, 'node-2', 'first', challenge)
    welcome = create_welcome(b'other', challenge, hello)
    context.shaken = check_welcome(SECRET, challenge, hello, welcome)


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
    assert isinstance(context.shaken, Failure)
    failure = context.shaken.failure()
    assert type(failure).__name__ == error
    assert failure.message
