"""HTTP requests and responses."""

from collections.abc import AsyncIterator, Mapping
from typing import Any, TypeAlias
from urllib.parse import parse_qsl, quote, unquote, urlsplit

import orjson
from msgspec import Struct, field

#: Header lines in their order, names in lower case.
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]


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
