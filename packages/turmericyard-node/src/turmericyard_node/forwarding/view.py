"""The node's view of the store: items by key at one position.

The position of a view, an era and a revision, never decreases, whether its
changes come from the store or from peers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from turmericyard_clients.store import Change, Entry, Position

#: Most removals that are kept; a hub lags by seconds, in which few items are
#: removed.
MAX_REMOVED = 1024

Listener = Callable[[Change], None]
#: What orders the values of a key by their content, where they have an order.
ItemVersion = tuple[int, ...]
VersionReader = Callable[[str, bytes], ItemVersion | None]


def no_version(_key: str, _value: bytes) -> None:
    """Return None: the content of items has no order."""


@dataclass(frozen=True, slots=True)
class Removal:
    """The position of a removal and the version that the item had."""

    position: Position
    version: ItemVersion | None


@dataclass(slots=True)
class StoreView:
    """All items that the node knows; listeners are called with each change.

    Several hubs send changes, and some lag. `removed` has the latest removals:
    an older change that arrives after a removal must not restore the item.

    A store that was restored from a copy shows items as they were before later
    changes and removals. Between eras, the version in an item's content
    therefore decides which of two values is newer, where both have one.
    """

    era: int = 0
    revision: int = 0
    read_at: Position = (0, 0)
    items: dict[str, Entry] = field(default_factory=dict)
    removed: dict[str, Removal] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    read_version: VersionReader = no_version

    @property
    def position(self) -> Position:
        """Return the era and the revision of the view."""
        return (self.era, self.revision)

    def apply(
        self, revision: int, changes: Iterable[Change], era: int = 0
    ) -> None:
        """Apply the changes of a watch, ignoring outdated ones."""
        for change in changes:
            if self.is_news(change):
                self.change(change)
        self.advance((era, revision))

    def advance(self, position: Position) -> None:
        """Move to a position unless the view is past it."""
        era, revision = max(self.position, position)
        self.era = era
        self.revision = revision

    def is_news(self, change: Change) -> bool:
        """Return whether a change is newer than what is known of its key."""
        known = self.items.get(change.key)
        if known is not None:
            return self.supersedes(change, known)
        removal = self.removed.get(change.key)
        if removal is None:
            return change.position > self.read_at
        version = self.version_of(change)
        is_restored = change.era > removal.position[0]
        if is_restored and version is not None and removal.version is not None:
            return version > removal.version
        return change.position > max(self.read_at, removal.position)

    def supersedes(self, change: Change, known: Entry) -> bool:
        """Return whether a change is newer than a known entry."""
        if change.era != known.era:
            version = self.version_of(change)
            known_version = self.read_version(known.key, known.value)
            if version is not None and known_version is not None:
                return (version, change.position) > (
                    known_version,
                    known.position,
                )
        return change.position > known.position

    def version_of(self, change: Change) -> ItemVersion | None:
        """Return the version of a change's content, None without one."""
        if change.value is None:
            return None
        return self.read_version(change.key, change.value)

    def replace(
        self,
        revision: int,
        entries: Iterable[Entry],
        era: int = 0,
        *,
        keep_missing: bool = False,
    ) -> bool:
        """Apply a full snapshot; return False if it is older than this view.

        With `keep_missing`, items that it lacks stay as they are.
        """
        position = (era, revision)
        found = {entry.key: entry for entry in entries}
        is_current = position >= self.position
        if is_current:
            self.read_at = (0, 0)
        if is_current and not keep_missing:
            self.remove_missing(position, found)
        for entry in found.values():
            change = Change(entry.key, entry.value, entry.revision, entry.era)
            if self.is_news(change):
                self.change(change)
        if is_current:
            self.era = era
            self.revision = revision
            self.read_at = position
        return is_current

    def remove_missing(
        self, position: Position, found: dict[str, Entry]
    ) -> None:
        """Remove the items that a snapshot at a position does not have."""
        era, revision = position
        for key, known in tuple(self.items.items()):
            if key not in found and known.position <= position:
                self.change(Change(key, None, revision, era))

    def record_removal(self, change: Change) -> None:
        """Record a removal, discarding the oldest when there are too many."""
        known = self.items.get(change.key)
        earlier = self.removed.pop(change.key, None)
        version = earlier.version if earlier else None
        if known is not None:
            version = self.read_version(known.key, known.value)
        self.removed[change.key] = Removal(change.position, version)
        if len(self.removed) > MAX_REMOVED:
            self.removed.pop(next(iter(self.removed)))

    def change(self, change: Change) -> None:
        """Apply one change and call the listeners if it changes anything."""
        known = self.items.get(change.key)
        if change.value is None:
            self.record_removal(change)
            if self.items.pop(change.key, None) is None:
                return
        else:
            self.items[change.key] = Entry(
                change.key, change.value, change.revision, change.era
            )
            if known and is_same_value(known, change):
                return
        for listener in self.listeners:
            listener(change)


def is_same_value(known: Entry, change: Change) -> bool:
    """Return whether a change only moves an entry to another era."""
    return known.value == change.value and known.era != change.era
