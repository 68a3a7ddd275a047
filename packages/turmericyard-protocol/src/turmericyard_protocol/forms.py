"""Forms of the messages: which fields and types a build understands.

Builds of form 1 accept a message only with exactly the fields that they know,
and close the connection on an unknown type. Each side names its form when a
connection is opened; a peer that names none is of form 1.
"""

from typing import Any

from turmericyard_protocol.fleet_messages import (
    FleetBeat,
    PlaceOffer,
    PlaceReply,
    PlaceRequest,
    PlaceTaken,
    QueueLeave,
)
from turmericyard_protocol.message import Message

FIRST_FORM = 1
#: The form of this build. Rises when a message gets a field or a type is added.
FORM = 2
#: Number of fields in form 1 of the messages that have more now.
FIRST_FORM_FIELDS: dict[type[Message], int] = {
    FleetBeat: 8,
    PlaceRequest: 7,
    PlaceReply: 1,
}
#: Types that builds of form 1 do not know.
SECOND_FORM_TYPES: frozenset[type[Message]] = frozenset(
    (PlaceOffer, PlaceTaken, QueueLeave)
)


def is_known(kind: type[Any], form: int) -> bool:
    """Return whether a build of a form knows a type of message."""
    return form > FIRST_FORM or kind not in SECOND_FORM_TYPES


def field_count(kind: type[Any], form: int) -> int | None:
    """Return the number of fields of a type in a form, None for all fields."""
    return FIRST_FORM_FIELDS.get(kind) if form == FIRST_FORM else None


def read_form(text: str | None) -> int:
    """Return the form that a peer names; form 1 where it names no valid one.

    A later form is a superset of this build's.
    """
    if text is None or not text.isdecimal() or len(text) > 3:
        return FIRST_FORM
    return min(max(int(text), FIRST_FORM), FORM)
