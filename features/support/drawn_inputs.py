"""Drawn inputs of a platform's borders: sound ones that were changed."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

from hypothesis import strategies as drawn

ADDRESS = '10.0.0.1:80'
SCALARS = (
    drawn.none()
    | drawn.booleans()
    | drawn.integers()
    | drawn.floats()
    | drawn.text(max_size=12)
)
VALUES = drawn.recursive(
    SCALARS,
    lambda inner: (
        drawn.lists(inner, max_size=4)
        | drawn.dictionaries(drawn.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
HEADER_NAMES = drawn.sampled_from(
    (
        b'host',
        b'authorization',
        b'x-turmericyard-attempt-id',
        b'x-turmericyard-deadline-ms',
        b'x-turmericyard-token-count',
        b'x-turmericyard-length-hint',
        b'x-turmericyard-not-executed',
        b'x-turmericyard-response-seal',
        b'server-leaving',
        b'retry-after',
        b'connection',
    )
)
LINES = drawn.lists(
    drawn.tuples(
        HEADER_NAMES,
        drawn.binary(max_size=16)
        | drawn.sampled_from((b'1', b'-1', b'nan', b'inf', b'1e999', b'9,')),
    ),
    max_size=8,
).map(tuple)
RECORD = {
    'service': 'plain',
    'address': ADDRESS,
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'born': 1,
}
STORE_ANSWERS = {
    'items': [{'key': 'k', 'value': 'dg==', 'revision': 3}],
    'events': [{'key': 'k', 'revision': 4, 'tombstone': True}],
    'currentRev': 4,
    'revision': 4,
    'lease': 5,
}
ENGINE_ANSWERS = {'handle': 'h-1', 'state': 'draining', 'createRevision': 3}


def mutated(original: Any) -> drawn.SearchStrategy[bytes]:
    """Return JSON with some values replaced, cut or not JSON at all."""

    @drawn.composite
    def build(draw: Callable[[Any], Any]) -> bytes:
        changed = json.loads(json.dumps(original))
        for _ in range(draw(drawn.integers(0, 3))):
            replace_one(changed, draw(VALUES), Random(draw(drawn.integers())))
        encoded = json.dumps(changed).encode()
        cut = draw(drawn.integers(0, 3 * len(encoded)))
        return encoded[:cut]

    return build() | drawn.binary(max_size=64)


def replace_one(document: Any, value: Any, random: Random) -> None:
    """Put a value at a random place of a document."""
    inside = document
    while isinstance(inside, dict | list) and inside:
        keys = list(inside) if isinstance(inside, dict) else range(len(inside))
        key = random.choice(list(keys))
        if not isinstance(inside[key], dict | list) or random.random() < 0.3:
            inside[key] = value
            return
        inside = inside[key]


SETTINGS_TEXT = b"""
nodeName = "n"
ip = "10.0.0.1"
zone = "a"
region = "r"
internalPorts = [1, 2]
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[platform]
address = "10.0.0.1:5"
"""
SETTINGS_FILES = drawn.binary(max_size=64) | drawn.builds(
    lambda cut, changed: changed + SETTINGS_TEXT[:cut],
    drawn.integers(0, 2 * len(SETTINGS_TEXT)),
    drawn.sampled_from((b'', b'seeds = 3\n', b'seeds = [1]\n', b'x = {}\n')),
)
