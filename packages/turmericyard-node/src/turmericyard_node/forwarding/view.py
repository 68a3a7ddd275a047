"""The node's view of the store: items by key at one revision.

The revision of a view never decreases, whether its changes come from the store
or from peers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_clients.store import Change, Entry

#: Most removals that are kept; a hub lags by seconds, in which few items are
#: removed.
MAX_REMOVED = 1024

Listener = Callable[[Change], None]


@dataclass(slots=True)
class StoreView:
    """All items that the node knows; listeners are called with each change.

    Several hubs send changes, and some lag. `removed` has the revisions of
    removals that are newer than the last full snapshot, taken at revision
    `read_at`: an older change that arrives after a removal must not restore
    the item.
    """

    revision: int = 0
    read_at: int = 0
    items: dict[str, Entry] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)

    def apply(self, revision: int, changes: Iterable[Change]) -> None:
        """Apply the changes of a watch, ignoring outdated ones."""
        for change in changes:
            if change.revision > self.known_revision(change.key):
                self.change(change)
        self.revision = max(self.revision, revision)

    def known_revision(self, key: str) -> int:
        """Return the revision up to which an item's state is known."""
        known = self.items.get(key)
        if known is not None:
            return known.revision
        return max(self.read_at, self.removed.get(key, 0))

    def replace(self, revision: int, entries: Iterable[Entry]) -> bool:
        """Apply a full snapshot; return False if it is older than this view."""
        if revision < self.revision:
            return False
        self.read_at = 0
        found = {entry.key: entry for entry in entries}
        for key, known in tuple(self.items.items()):
            if key not in found and known.revision <= revision:
                self.change(Change(key, None, revision))
        for entry in found.values():
            if entry.revision > self.known_revision(entry.key):
                self.change(Change(entry.key, entry.value, entry.revision))
        self.revision = revision
        self.read_at = revision
        self.removed = {
            gone: at for gone, at in self.removed.items() if at > revision
        }
        return True

    def record_removal(self, change: Change) -> None:
        """Record a removal, discarding the oldest when there are too many."""
        self.removed.pop(change.key, None)
        self.removed[change.key] = change.revision
        if len(self.removed) > MAX_REMOVED:
            self.removed.pop(next(iter(self.removed)))

    def change(self, change: Change) -> None:
        """Apply one change and call the listeners."""
        if change.value is None:
            self.record_removal(change)
            if self.items.pop(change.key, None) is None:
                return
        else:
            self.items[change.key] = Entry(
                change.key, change.value, change.revision
            )
        for listener in self.listeners:
            listener(change)
