"""Decodes bodies in chunks.

h11 needs some 20 microseconds for each chunk, so that two-byte chunks at the
speed of a link take all of a processor. This takes one or less.
"""

import re
from typing import Final

#: Longest line with the size of a chunk, and longest trailer, in bytes.
MAX_LINE_BYTES: Final = 4096
#: Size of a chunk, and extensions, which are ignored.
SIZE_LINE: Final = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\Z')
HEXADECIMAL: Final = 16
LINE_END: Final = b'\r\n'
#: Length of LINE_END.
END_BYTES: Final = 2


class MalformedChunk(Exception):
    """The bytes are no body in chunks; the response has status 400."""


class ChunkedDecoder:
    """Takes bytes as they arrive and returns the content of the chunks.

    `rest` is what was not decoded yet, after the end what follows the body.
    """

    __slots__ = ('chunks', 'ended', 'in_trailers', 'left', 'rest', 'trailers')

    def __init__(self) -> None:
        self.rest = b''
        #: Bytes of the current chunk that are missing, with its line end.
        self.left = 0
        self.chunks = 0
        self.in_trailers = False
        self.ended = False
        #: Bytes of the trailers so far.
        self.trailers = 0

    def feed(self, received: bytes) -> bytes:
        """Return the content; raises MalformedChunk."""
        raw = self.rest + received if self.rest else received
        parts: list[bytes] = []
        place = self.read_chunks(raw, parts)
        self.rest = raw[place:]
        if self.in_trailers:
            self.skip_trailers()
        return b''.join(parts)

    def read_chunks(self, raw: bytes, parts: list[bytes]) -> int:
        """Append the content of chunks; return where the rest begins."""
        place = 0
        while not self.in_trailers:
            if self.left:
                place = self.read_content(raw, place, parts)
                if self.left:
                    return place
            line_end = raw.find(LINE_END, place)
            if line_end < 0:
                check_length(len(raw) - place)
                return place
            size = read_size(raw[place:line_end])
            place = line_end + END_BYTES
            self.chunks += 1
            self.left = size + END_BYTES if size else 0
            self.in_trailers = not size
        return place

    def read_content(self, raw: bytes, place: int, parts: list[bytes]) -> int:
        """Append what there is of the current chunk; return its end.

        `left` is 0 at the end of the chunk. A part of its line end stays in
        `rest` until it is whole.
        """
        end = place + self.left
        content = raw[place : min(end - END_BYTES, len(raw))]
        parts.append(content)
        if end > len(raw):
            self.left -= len(content)
            return place + len(content)
        if raw[end - END_BYTES : end] != LINE_END:
            raise MalformedChunk
        self.left = 0
        return end

    def skip_trailers(self) -> None:
        """Drop trailers up to the empty line; raises MalformedChunk."""
        while not self.ended:
            line, found, after = self.rest.partition(LINE_END)
            if not found:
                check_length(self.trailers + len(line))
                return
            self.trailers += len(line)
            check_length(self.trailers)
            self.rest = after
            self.ended = not line


def check_length(length: int) -> None:
    """Raise MalformedChunk for a line that is too long."""
    if length > MAX_LINE_BYTES:
        raise MalformedChunk


def read_size(line: bytes) -> int:
    """Return the size in a chunk's first line; raises MalformedChunk."""
    found = SIZE_LINE.match(line)
    if found is None or len(line) > MAX_LINE_BYTES:
        raise MalformedChunk
    return int(found[1], HEXADECIMAL)
