"""The node's view of the store: items by key at one revision.

A view goes forward only, whether its news come from the store or from peers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_clients.store import Change, Entry

Listener = Callable[[Change], None]


@dataclass(slots=True)
class StoreView:
    """All items that the node knows; listeners hear each change."""

    revision: int = 0
    items: dict[str, Entry] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)

    def apply(self, revision: int, changes: Iterable[Change]) -> None:
        """Take over the changes of a watch; older ones change nothing."""
        for change in changes:
            known = self.items.get(change.key)
            if known is None or known.revision < change.revision:
                self.change(change)
        self.revision = max(self.revision, revision)

    def replace(self, revision: int, entries: Iterable[Entry]) -> bool:
        """Take over a whole view if it is not older than this one."""
        if revision < self.revision:
            return False
        found = {entry.key: entry for entry in entries}
        for key in self.items.keys() - found.keys():
            self.change(Change(key, None, revision))
        for entry in found.values():
            known = self.items.get(entry.key)
            if known is None or known.revision < entry.revision:
                self.change(Change(entry.key, entry.value, entry.revision))
        self.revision = revision
        return True

    def change(self, change: Change) -> None:
        """Take over one change and tell the listeners."""
        if change.value is None:
            if self.items.pop(change.key, None) is None:
                return
        else:
            self.items[change.key] = Entry(
                change.key, change.value, change.revision
            )
        for listener in self.listeners:
            listener(change)
