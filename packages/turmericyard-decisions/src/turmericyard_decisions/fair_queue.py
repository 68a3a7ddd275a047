"""Weighted fair queue over priorities, products and workspaces.

Each level divides service, counted in expected tokens, by virtual time: the
child with the least service for its weight is served first. A child that was
idle starts at the current virtual time, so that it can't accumulate credit.
Requests stay in the queue until an endpoint can take them (late binding).
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile

PRIORITY_WEIGHT_STEP = 4.0


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """One waiting request; times are in seconds of the queue's clock."""

    request_id: str
    product: str
    workspace: str
    priority: int
    expected_tokens: float
    enqueued_at: float
    deadline_at: float


Eligible = Callable[[QueueEntry], bool]


def accept_any(entry: QueueEntry) -> bool:
    """Return True, so that every entry is eligible."""
    return True


@dataclass(slots=True)
class Branch:
    """One level of the queue: children by name, or entries at a leaf.

    `served` is the service of the branch in the virtual time of its parent:
    expected tokens served, divided by the weight. `virtual_time` is the virtual
    time at which a child was last served. `size` and `tokens` are the number of
    waiting entries in the branch and their expected tokens.
    """

    weight: float = 1.0
    served: float = 0
    virtual_time: float = 0
    children: dict[str, 'Branch'] = field(default_factory=dict)
    entries: deque[QueueEntry] = field(default_factory=deque)
    size: int = 0
    tokens: float = 0

    def child(self, name: str, weight: float) -> 'Branch':
        """Return the child; an idle one starts at the virtual time."""
        found = self.children.setdefault(name, Branch(served=self.virtual_time))
        found.weight = weight
        if not found.size:
            found.served = max(found.served, self.virtual_time)
        return found

    def busy_children(self) -> list['Branch']:
        """Return the children with waiting entries, the least served first."""
        busy = [child for child in self.children.values() if child.size]
        busy.sort(key=lambda child: child.served)
        return busy

    def take(self, eligible: Eligible) -> QueueEntry | None:
        """Remove and return the next eligible entry."""
        for child in self.busy_children():
            entry = child.take(eligible)
            if entry:
                self.virtual_time = max(self.virtual_time, child.served)
                child.served += entry.expected_tokens / child.weight
                self.subtract_from_totals(entry)
                return entry
        return self.take_first(eligible)

    def take_first(self, eligible: Eligible) -> QueueEntry | None:
        """Remove and return the leaf's first entry if it is eligible."""
        if not self.entries or not eligible(self.entries[0]):
            return None
        entry = self.entries.popleft()
        self.subtract_from_totals(entry)
        return entry

    def subtract_from_totals(self, entry: QueueEntry) -> None:
        """Subtract the entry from `size` and `tokens`."""
        self.size -= 1
        self.tokens -= entry.expected_tokens

    def add_to_totals(self, entry: QueueEntry) -> None:
        """Add the entry to `size` and `tokens`."""
        self.size += 1
        self.tokens += entry.expected_tokens


@dataclass(slots=True)
class FairQueue:
    """Requests waiting at one node, served in fair shares.

    A priority level has `PRIORITY_WEIGHT_STEP` times the share of the next
    lower one, so that urgent work goes first without starving the rest.
    """

    root: Branch = field(default_factory=Branch)

    def branches(
        self, entry: QueueEntry, weight: float = 0
    ) -> tuple[Branch, ...]:
        """Return the branches from the priority level down to the workspace.

        A `weight` of 0 keeps the known weight of the workspace.
        """
        share = PRIORITY_WEIGHT_STEP**-entry.priority
        level = self.root.child(str(entry.priority), share)
        product = level.child(entry.product, 1.0)
        known = product.children.get(entry.workspace)
        kept = known.weight if known else 1.0
        return level, product, product.child(entry.workspace, weight or kept)

    def push(self, entry: QueueEntry, weight: float = 1.0) -> None:
        """Add a request of a workspace with the given weight."""
        level, product, workspace = self.branches(entry, weight)
        workspace.entries.append(entry)
        for branch in (self.root, level, product, workspace):
            branch.add_to_totals(entry)

    def pop(self, eligible: Eligible = accept_any) -> QueueEntry | None:
        """Remove and return the next request, None when none is eligible."""
        return self.root.take(eligible)

    def requeue(self, entry: QueueEntry) -> None:
        """Put a popped request that couldn't be placed back at its position.

        Requests that are tried at the same time may return in any order.
        """
        level, product, workspace = self.branches(entry)
        position = count_earlier(workspace.entries, entry)
        workspace.entries.insert(position, entry)
        for branch in (self.root, level, product, workspace):
            branch.add_to_totals(entry)
        for charged in (level, product, workspace):
            charged.served -= entry.expected_tokens / charged.weight

    def correct_charge(self, entry: QueueEntry, tokens: float) -> None:
        """Correct the charge for a served request to its actual `tokens`."""
        difference = tokens - entry.expected_tokens
        for branch in self.branches(entry):
            branch.served += difference / branch.weight

    def remove(self, entry: QueueEntry) -> bool:
        """Remove a cancelled request; returns False when it isn't waiting."""
        level, product, workspace = self.branches(entry)
        if entry not in workspace.entries:
            return False
        workspace.entries.remove(entry)
        for branch in (self.root, level, product, workspace):
            branch.subtract_from_totals(entry)
        return True

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests whose deadline has passed."""
        overdue = [entry for entry in self if entry.deadline_at <= now]
        for entry in overdue:
            self.remove(entry)
        return overdue

    def tokens_ahead(
        self,
        entry: QueueEntry,
        competing_products: frozenset[str] | None = None,
    ) -> float:
        """Return the expected tokens served before a new entry.

        Each competing workspace counts with its backlog, limited to the
        service that its share allows while the backlog of the entry's own
        workspace is served. `competing_products` are the products that wait for
        the same endpoints, None for all products.
        """
        level, product, own = self.branches(entry)
        backlog = own.tokens + entry.expected_tokens
        ahead = own.tokens
        ahead += competing_tokens(product, own, backlog)
        ahead += competing_tokens(
            level, product, ahead + entry.expected_tokens, competing_products
        )
        return ahead + sum(
            min(
                waiting_tokens(other, competing_products),
                (ahead + entry.expected_tokens) * other.weight / level.weight,
            )
            for other in self.root.children.values()
            if other is not level
        )

    def __len__(self) -> int:
        return self.root.size

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(list_entries(self.root))


def count_earlier(entries: deque[QueueEntry], entry: QueueEntry) -> int:
    """Return how many entries at the front were enqueued before this one."""
    earlier = takewhile(
        lambda other: other.enqueued_at < entry.enqueued_at, entries
    )
    return sum(1 for _ in earlier)


def competing_tokens(
    parent: Branch,
    own: Branch,
    backlog: float,
    names: frozenset[str] | None = None,
) -> float:
    """Return the tokens that siblings of `own` get while it gets `backlog`.

    Only siblings with one of `names` count; None counts all of them.
    """
    return sum(
        min(sibling.tokens, backlog * sibling.weight / own.weight)
        for name, sibling in parent.children.items()
        if sibling is not own and (names is None or name in names)
    )


def waiting_tokens(level: Branch, names: frozenset[str] | None) -> float:
    """Return the waiting tokens of the named products at a priority level."""
    return sum(
        product.tokens
        for name, product in level.children.items()
        if names is None or name in names
    )


def list_entries(branch: Branch) -> list[QueueEntry]:
    """Return all entries of a branch, in no particular order."""
    found = list(branch.entries)
    for child in branch.children.values():
        found.extend(list_entries(child))
    return found


def create_fair_queue() -> FairQueue:
    """Return an empty queue."""
    return FairQueue()
