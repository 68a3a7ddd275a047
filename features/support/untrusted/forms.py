"""What each client of a crowd sends; the end of it is always missing."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count, cycle, repeat

from support.fleet.scenario import PROMPT
from support.fleet.world import HOST, KEY

#: The longest body that a node takes by default.
BODY_BYTES = 4_194_304
#: Bytes of a body that are never sent.
MISSING_BYTES = 500
PIECE_BYTES = 16_384
#: Pause between two pieces, in seconds: a body takes about 2.5 s.
PIECE_SECONDS = 0.01
CHUNK_BYTES = 65_536
TINY_CHUNK = b'2\r\nab\r\n'
TINY_BYTES = 2
#: Chunks and requests that are sent together.
TOGETHER = 2048
PIPELINED_REQUESTS = 400_000
BARE_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
#: Runners repeat the id in each event, so that events are long.
LONG_ID = 'x' * 8000
numbers = count()


def head(
    *lines: str, target: str = '/write/a', attempt: str = 'crowd'
) -> bytes:
    common = (
        f'POST {target} HTTP/1.1',
        f'host: {HOST}',
        f'x-turmericyard-attempt-id: {attempt}',
        'x-turmericyard-deadline-ms: 5000',
        f'authorization: Bearer {KEY}',
    )
    return '\r\n'.join((*common, *lines, '', '')).encode()


def with_length() -> Iterator[bytes]:
    yield head(f'content-length: {BODY_BYTES}')
    yield b'a' * (BODY_BYTES - MISSING_BYTES)


def with_length_in_pieces() -> Iterator[bytes]:
    yield head(f'content-length: {BODY_BYTES}')
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b'a' * PIECE_BYTES
    yield b'a' * (PIECE_BYTES - MISSING_BYTES)


def in_large_chunks() -> Iterator[bytes]:
    yield head('transfer-encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b'a' * CHUNK_BYTES)
    yield from repeat(chunk, BODY_BYTES // CHUNK_BYTES - 1)
    yield chunk[:-MISSING_BYTES]


def in_tiny_chunks() -> Iterator[bytes]:
    yield head('transfer-encoding: chunked')
    chunks = (BODY_BYTES - MISSING_BYTES) // TINY_BYTES
    yield from repeat(TINY_CHUNK * TOGETHER, chunks // TOGETHER)


def pipelined() -> Iterator[bytes]:
    yield from repeat(BARE_REQUEST * TOGETHER, PIPELINED_REQUESTS // TOGETHER)


def half_a_head() -> Iterator[bytes]:
    yield head()[: -MISSING_BYTES // 10]


def unread_stream() -> Iterator[bytes]:
    prompt = (
        f'{name.replace("_", "-")}: {text}' for name, text in PROMPT.items()
    )
    attempt = f'{LONG_ID}{next(numbers)}'
    yield head(
        *prompt, 'content-length: 0', target='/stream/a', attempt=attempt
    )


@dataclass(frozen=True)
class Form:
    """Pieces to send, with a pause in seconds between them."""

    pieces: Callable[[], Iterator[bytes]]
    pause: float = 0


FORMS = {
    'bodies with a length': Form(with_length),
    'bodies with a length, in pieces': Form(
        with_length_in_pieces, PIECE_SECONDS
    ),
    'bodies in large chunks': Form(in_large_chunks),
    'bodies in two-byte chunks': Form(in_tiny_chunks),
    'pipelined requests, unread': Form(pipelined),
    'halves of heads': Form(half_a_head),
    'streams, unread': Form(unread_stream),
}
ALL = 'all forms at once'


def forms_of(name: str) -> Iterator[Form]:
    """Return the form of each member of a crowd, without end."""
    return cycle(FORMS.values()) if name == ALL else repeat(FORMS[name])
