"""Steps for the parser of engine events."""

from typing import get_args

from behave import then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from turmericyard_clients.engine_events import (
    Done,
    EngineFailure,
    GenerationStarted,
    Heartbeat,
    StreamEvent,
    Token,
)
from turmericyard_clients.sse import EventParser

BODY = (
    b'data: {"generation":"g","restart":"r"}\n\n'
    b'data: {"offset":0,"text":"a \\n\\n b"}\n\n'
    b': heartbeat\n\n'
    b'data: {"offset":1,"text":"\xc4\x8d"}\n\n'
    b'event: done\ndata: {"tokens":2,"reason":"stop"}\n\n'
    b'event: error\ndata: {"error":"crashed"}\n\n'
)
EXPECTED = [
    GenerationStarted('g', 'r'),
    Token(0, 'a \n\n b', b'data: {"offset":0,"text":"a \\n\\n b"}\n\n'),
    Heartbeat(),
    Token(1, 'č', b'data: {"offset":1,"text":"\xc4\x8d"}\n\n'),
    Done(2, 'stop'),
    EngineFailure('crashed'),
]


@when('engine events are cut at random places')
def step_cut(context: Context) -> None:
    @seed(5)
    @settings(max_examples=200, database=None, deadline=None)
    @for_all(cuts=st.lists(st.integers(0, len(BODY)), max_size=12))
    def check(cuts):
        edges = [0, *sorted(cuts), len(BODY)]
        parser = EventParser()
        events = []
        for start, end in zip(edges, edges[1:], strict=False):
            events.extend(parser.feed(BODY[start:end]))
        assert events == EXPECTED

    context.check = check


@then('the engine event parser returns the same events')
def step_same(context: Context) -> None:
    context.check()


@when('random bytes are fed to the engine event parser')
def step_random_bytes(context: Context) -> None:
    fragments = st.sampled_from(
        [b'data: ', b'event: done\n', b'\n\n', b'{"offset":', b'1', b'}', b':']
    )
    noise = st.binary(max_size=8)

    @seed(6)
    @settings(max_examples=300, database=None, deadline=None)
    @for_all(pieces=st.lists(st.one_of(fragments, noise), max_size=30))
    def check(pieces):
        parser = EventParser()
        for piece in pieces:
            for event in parser.feed(piece):
                assert isinstance(event, get_args(StreamEvent))

    context.check = check


@then('the engine event parser returned typed events only')
def step_typed_only(context: Context) -> None:
    context.check()
