"""Joins the event streams of a generation that moved between endpoints.

Only complete events are passed on, each id once and in order. A truncated
event is dropped, and the endpoint that continues the generation sends it again.
"""

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb'\r?\n\r?\n')
#: Longest event that is accepted; a valid event holds a few tokens.
MAX_EVENT_BYTES = 262_144
EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventMissing(Exception):
    """The stream continues after an event that was not delivered."""


class EventTooLong(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


@dataclass(slots=True)
class EventStreamJoiner:
    """Joins the event streams of one generation.

    `last` is the id of the last event that was passed on, empty before the
    first. `delivered` is the number of events with an id that were passed on.
    `incomplete_event` holds the bytes of an incomplete event.
    `continued` is set from a change of endpoint until the next event is passed
    on.
    """

    last: str = ''
    delivered: int = 0
    incomplete_event: bytes = b''
    continued: bool = False

    @classmethod
    def after(cls, last: str) -> 'EventStreamJoiner':
        """Return a joiner for a client that has the events up to `last`."""
        return cls(last, continued=bool(last))

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events up to the end of this chunk.

        Raises EventMissing when an event is missing after a change of endpoint,
        and EventTooLong when an event is longer than `MAX_EVENT_BYTES`.
        """
        data = self.incomplete_event + chunk if self.incomplete_event else chunk
        completed = []
        start = 0
        for end in END_OF_EVENT.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            if self.admit(event):
                completed.append(event)
        self.incomplete_event = data[start:]
        if len(self.incomplete_event) > MAX_EVENT_BYTES:
            raise EventTooLong(
                f'event incomplete after {len(self.incomplete_event)} bytes;'
                f' the limit is {MAX_EVENT_BYTES}'
            )
        return b''.join(completed)

    def admit(self, event: bytes) -> bool:
        """Return whether the event is passed on; repeated events are not."""
        match = EVENT_ID.search(event)
        if match is None:
            return not self.continued
        event_id = match.group(1).decode('latin-1').strip()
        if self.continued and not self.is_next(event_id):
            return False
        self.continued = False
        self.last = event_id
        self.delivered += 1
        return True

    def is_next(self, event_id: str) -> bool:
        """Return whether the id follows the last one.

        Raises EventMissing when ids between them are missing.
        """
        if not (event_id.isdigit() and self.last.isdigit()):
            return event_id != self.last
        step = int(event_id) - int(self.last)
        if step > 1:
            raise EventMissing(
                f'event {event_id} follows event {self.last}:'
                ' the events between them are missing'
            )
        return step == 1

    def is_inside_event(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self.incomplete_event.strip())

    def finish(self) -> bytes:
        """Return the bytes after the last complete event of an ended stream."""
        incomplete = self.incomplete_event
        self.incomplete_event = b''
        return incomplete

    def restart(self) -> None:
        """Start the stream of another endpoint; drop a truncated event."""
        self.incomplete_event = b''
        self.continued = bool(self.last)
