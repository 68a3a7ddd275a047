"""The bytes of a connection that were received and not yet decoded."""

import re
from typing import Any, Final

from turmericyard_http.intake.account import Reason
from turmericyard_http.intake.refusals import InputEnded

#: Bytes received at once while a head is awaited, and the most that is read
#: ahead while a request is answered: the longest head that is accepted by
#: default.
HEAD_RECEIVE_BYTES: Final = 16_384
BLANK_LINE: Final = re.compile(rb'\n\r?\n')
#: Lowest byte with which a head can begin.
FIRST_PRINTABLE: Final = 0x21
#: Bytes before the end of what was searched in which a blank line may begin.
OVERLAP_BYTES: Final = 2


class ConnectionInput:
    """Input of one connection; `received` counts all bytes.

    h11 gets one head at a time, so that it never holds what follows it.
    """

    __slots__ = ('end_reason', 'pending', 'received', 'searched', 'sock')

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.pending = b''
        self.received = 0
        self.end_reason: Reason | None = None
        #: Bytes of `pending` that have no blank line.
        self.searched = 0

    async def receive(self, size: int) -> bytes:
        """Return the next bytes from the socket, empty at the end."""
        received: bytes = await self.sock.recv(size)
        self.received += len(received)
        return received

    def check(self) -> None:
        """Raise InputEnded once this side has ended the input."""
        if self.end_reason is not None:
            raise InputEnded(self.end_reason)

    def take(self, size: int) -> bytes:
        """Return and remove up to `size` pending bytes."""
        taken = self.pending[:size]
        self.pending = self.pending[size:]
        self.searched = 0
        return taken

    def take_head(self, limit: int) -> bytes:
        """Return and remove a head, empty while it is incomplete.

        What cannot be a head is returned as well, for h11 to reject.
        """
        pending = self.pending
        if not pending:
            return b''
        start = max(0, self.searched - OVERLAP_BYTES)
        found = BLANK_LINE.search(pending, start)
        if found is not None:
            return self.take(found.end())
        self.searched = len(pending)
        if len(pending) > limit or pending[0] < FIRST_PRINTABLE:
            return self.take(len(pending))
        return b''
