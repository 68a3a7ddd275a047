"""Checks response heads for lines that h11 accepts and HTTP/1.1 does not.

h11 joins a line that begins with a blank to the line before it, and takes a
line feed without a carriage return for the end of a line. A field whose name
begins with such a byte would then become a part of another field, or end the
head, so that the body began with the fields after it.
"""

import re
from dataclasses import dataclass, field

import h11

#: Where a head ends, as h11 finds it.
HEAD_END = re.compile(rb'\n\r?\n')
FOLDED_LINE = re.compile(rb'\n[ \t]')
BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')
CRLF = b'\r\n'


@dataclass(slots=True)
class ResponseHeads:
    """The bytes of one connection's response heads that are not yet checked."""

    unchecked: bytearray = field(default_factory=bytearray)

    def add(self, received: bytes) -> None:
        """Add bytes that were received before the end of a final head."""
        self.unchecked += received

    def check(self, event: h11.InformationalResponse | h11.Response) -> None:
        """Check the bytes from which h11 read a head.

        Raises h11.RemoteProtocolError. The bytes after a final head are its
        body's and are dropped.
        """
        end = HEAD_END.search(self.unchecked)
        if end is None:
            raise h11.RemoteProtocolError('the head was not received')
        check_lines(bytes(self.unchecked[: end.end()]))
        if isinstance(event, h11.Response):
            self.unchecked.clear()
        else:
            del self.unchecked[: end.end()]


def check_lines(head: bytes) -> None:
    """Raise h11.RemoteProtocolError for lines that could be read in two ways.

    A head all of whose lines end with a line feed only is accepted.
    """
    if FOLDED_LINE.search(head):
        raise h11.RemoteProtocolError('a line of the head begins with a blank')
    if CRLF in head and BARE_LINE_FEED.search(head):
        raise h11.RemoteProtocolError(
            'a line of the head ends with a line feed only, and others do not'
        )
