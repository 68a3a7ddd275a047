"""The stored view: which node holds which slots.

The view is one value in the store and is changed by compare-and-swap. A slot
moves only when its holder released it or can certainly not act any more, so
nodes that know different epochs never use the same slot at the same time.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from turmericyard_decisions.loan import Holder
from turmericyard_decisions.share import SLOT_COUNT

#: Epoch of the first view.
FIRST_EPOCH = 1


@dataclass(frozen=True, slots=True)
class Slot:
    """Holder of one slot; `epoch` is that of the view that moved it there."""

    holder: Holder
    epoch: int


@dataclass(frozen=True, slots=True)
class View:
    """Assignment of the slots in one epoch, by slot number."""

    epoch: int
    slots: tuple[Slot, ...]

    def held_by(self, holder: Holder) -> tuple[int, ...]:
        """Return the numbers of the holder's slots."""
        return tuple(
            number
            for number, slot in enumerate(self.slots)
            if slot.holder == holder
        )

    def holders(self) -> frozenset[Holder]:
        """Return all holders of slots."""
        return frozenset(slot.holder for slot in self.slots)

    def never_moved(self, number: int) -> bool:
        """Return whether the slot never had another holder."""
        return self.slots[number].epoch == FIRST_EPOCH


def create_view(
    members: Iterable[Holder], slot_count: int = SLOT_COUNT
) -> View:
    """Return the first view, with slots spread evenly over the members."""
    ordered = sorted(members, key=lambda holder: holder.node)
    return View(
        FIRST_EPOCH,
        tuple(
            Slot(ordered[number % len(ordered)], FIRST_EPOCH)
            for number in range(slot_count)
        ),
    )


def move_slots(view: View, moves: Mapping[int, Holder]) -> View:
    """Return the next view, with the moved slots at their new holders."""
    epoch = view.epoch + 1
    return View(
        epoch,
        tuple(
            Slot(moves[number], epoch) if number in moves else slot
            for number, slot in enumerate(view.slots)
        ),
    )


def inherit_slots(view: View, successor: Holder) -> View | None:
    """Return the view in which a restarted node holds its previous slots.

    Returns None when no earlier incarnation of the node on the same VM holds a
    slot.
    """
    moves = {
        number: successor
        for number, slot in enumerate(view.slots)
        if slot.holder.node == successor.node
        and slot.holder.vm == successor.vm
        and slot.holder != successor
    }
    return move_slots(view, moves) if moves else None


def reassign_orphaned_slots(
    view: View, gone: Set[Holder], live: Set[Holder]
) -> View | None:
    """Return the view in which live nodes hold the slots of gone holders.

    A holder is gone when it left, or when its VM no longer exists. Returns None
    when there are no such slots or no live nodes.
    """
    orphaned = [
        number for number, slot in enumerate(view.slots) if slot.holder in gone
    ]
    new_holders = live - gone
    if not orphaned or not new_holders:
        return None
    return move_slots(view, distribute_slots(view, orphaned, new_holders))


def distribute_slots(
    view: View, numbers: Sequence[int], new_holders: Set[Holder]
) -> dict[int, Holder]:
    """Return a new holder for each slot, balancing the number of slots."""
    counts = Counter(slot.holder for slot in view.slots)
    by_count = [
        (counts[new_holder], new_holder.node, new_holder)
        for new_holder in new_holders
    ]
    heapq.heapify(by_count)
    moves: dict[int, Holder] = {}
    for number in numbers:
        count, node, new_holder = by_count[0]
        heapq.heapreplace(by_count, (count + 1, node, new_holder))
        moves[number] = new_holder
    return moves


def plan_rebalancing(
    view: View, holder: Holder, live: Set[Holder], limit: int
) -> dict[int, Holder]:
    """Return at most `limit` moves that balance this holder's surplus slots.

    Only the holder itself may make these moves, after its loans have expired.
    """
    counts = Counter(slot.holder for slot in view.slots)
    target = len(view.slots) // max(1, len(live))
    moves: dict[int, Holder] = {}
    receivers = sorted(
        (member for member in live if counts[member] < target),
        key=lambda member: (counts[member], member.node),
    )
    available = list(view.held_by(holder))
    for member in receivers:
        while counts[member] < target < counts[holder] and len(moves) < limit:
            moves[available.pop()] = member
            counts[member] += 1
            counts[holder] -= 1
    return moves


def newer_view(known: View | None, received: View) -> View:
    """Return the view with the higher epoch, the known one if they are equal."""
    if known is None or received.epoch > known.epoch:
        return received
    return known


def find_owner(view: View, slots: Iterable[int], live: Set[str]) -> str | None:
    """Return the holder of the first of these slots that has a live holder.

    Returns None when no live node holds one of them.
    """
    nodes = (view.slots[number].holder.node for number in slots)
    return next((node for node in nodes if node in live), None)
