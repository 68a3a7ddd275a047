"""The stored form of the view, as JSON."""

from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from turmericyard_decisions.loan import Holder
from turmericyard_decisions.share import SLOT_COUNT
from turmericyard_decisions.view import Slot, View


@dataclass(frozen=True, slots=True)
class StoredView:
    """A view; a slot is (index of its holder, epoch in which it moved)."""

    epoch: int
    holders: tuple[Holder, ...]
    slots: tuple[tuple[int, int], ...]


STORED_VIEW = TypeAdapter(StoredView)


def encode_view(view: View) -> bytes:
    """Return the JSON value to store for a view."""
    holders = tuple(sorted(view.holders(), key=lambda each: each.node))
    holder_indices = {holder: index for index, holder in enumerate(holders)}
    slots = tuple(
        (holder_indices[slot.holder], slot.epoch) for slot in view.slots
    )
    return STORED_VIEW.dump_json(StoredView(view.epoch, holders, slots))


def decode_view(value: bytes) -> View | None:
    """Return the view of a stored value; None when it is malformed."""
    try:
        stored = STORED_VIEW.validate_json(value)
    except ValidationError:
        return None
    indices = range(len(stored.holders))
    if len(stored.slots) != SLOT_COUNT or any(
        index not in indices for index, _ in stored.slots
    ):
        return None
    return View(
        stored.epoch,
        tuple(
            Slot(stored.holders[index], epoch) for index, epoch in stored.slots
        ),
    )
