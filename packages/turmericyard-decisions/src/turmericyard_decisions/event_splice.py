"""Joins the event streams of one generation that moved between endpoints.

Only whole events are passed on, each id once and in order, so that a torn
event is dropped and comes again from the endpoint that goes on.
"""

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb'\r?\n\r?\n')
#: Longest event: a sound one holds a few tokens.
MAX_EVENT_BYTES = 262_144
EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventMissing(Exception):
    """The stream goes on behind an event that was never delivered."""


class EventTooLong(Exception):
    """An event has no end within any sound length."""


@dataclass(slots=True)
class EventSplice:
    """The events of a generation over all its streams.

    `last` is the id of the last event passed on, empty before the first.
    """

    last: str = ''
    delivered: int = 0
    rest: bytes = b''
    continued: bool = False

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that a piece completes.

        Raises EventMissing when an event is missing after a continuation, and
        EventTooLong past `MAX_EVENT_BYTES`.
        """
        data = self.rest + piece if self.rest else piece
        passed = []
        start = 0
        for end in END_OF_EVENT.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            if self.admit(event):
                passed.append(event)
        self.rest = data[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLong(f'{len(self.rest)} bytes without an end')
        return b''.join(passed)

    def admit(self, event: bytes) -> bool:
        """Return whether an event is passed on; a repeated one is not."""
        found = EVENT_ID.search(event)
        if found is None:
            return not self.continued
        number = found.group(1).decode('latin-1').strip()
        if self.continued and not self.follows(number):
            return False
        self.continued = False
        self.last = number
        self.delivered += 1
        return True

    def follows(self, number: str) -> bool:
        """Return whether the id comes next; raises EventMissing."""
        if not (number.isdigit() and self.last.isdigit()):
            return number != self.last
        step = int(number) - int(self.last)
        if step > 1:
            raise EventMissing(f'{number} after {self.last}')
        return step == 1

    def finish(self) -> bytes:
        """Return what follows the last whole event of a complete stream."""
        rest = self.rest
        self.rest = b''
        return rest

    def restart(self) -> None:
        """Begin the stream of another endpoint; the torn event is dropped."""
        self.rest = b''
        self.continued = bool(self.last)
