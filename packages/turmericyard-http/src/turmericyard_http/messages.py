"""HTTP requests and responses."""

import re
from collections.abc import AsyncIterator, Mapping
from typing import Any, TypeAlias
from urllib.parse import parse_qsl, quote, unquote, urlsplit

import orjson
from msgspec import Struct, field

#: Header lines in their order, names in lower case.
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]
#: Where a head ends, as h11 finds it.
HEAD_END = re.compile(rb'\n\r?\n')
CRLF = b'\r\n'
FOLDED_LINE = re.compile(rb'\n[ \t]')
BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')


class Request(Struct, frozen=True):
    """A request; header names are in lower case, `path` is unquoted.

    `target` and `lines` are as received, for servers that pass requests on.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    target: bytes = b''
    lines: Headers = ()


class Response(Struct):
    """A response with a complete body."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    def json(self) -> Any:
        """Return the decoded body; raises ValueError when it is not JSON."""
        return orjson.loads(self.body)


class StreamResponse(Struct):
    """A response whose body is sent in chunks as it is produced.

    `chunks` is closed when the client disconnects or the stream ends.
    """

    status: int
    chunks: AsyncIterator[bytes]
    headers: dict[str, str] = field(default_factory=dict)


class OpaqueResponse(Struct):
    """A response passed on from another server; header names may repeat.

    It has a complete `body`, or `chunks` that are sent as they are produced.
    When `chunks` raises OSError the connection is aborted, so that a truncated
    response never looks complete.
    """

    status: int
    lines: Headers
    body: bytes = b''
    chunks: AsyncIterator[bytes] | None = None


def json_response(
    status: int, payload: Any, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status,
        {'content-type': 'application/json', **(headers or {})},
        orjson.dumps(payload),
    )


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Return the unquoted path and the query parameters of a target."""
    parts = urlsplit(target)
    return unquote(parts.path), dict(parse_qsl(parts.query))


def quote_segment(segment: str) -> str:
    """Return the text quoted as one path segment."""
    return quote(segment, safe='')


def find_head_defect(head: bytes | bytearray) -> str:
    """Return why the lines of a head can be read in two ways, empty if not.

    h11 joins a line that begins with a blank to the line before it, and takes
    a line feed without a carriage return for the end of a line. A field whose
    name begins with such a byte would become a part of another field, or end
    the head, so that the body began with the fields after it. A head all of
    whose lines end with a line feed only is valid.
    """
    if FOLDED_LINE.search(head):
        return 'a line of the head begins with a blank'
    if CRLF in head and BARE_LINE_FEED.search(head):
        return 'a line of the head ends with a line feed only, others do not'
    return ''
