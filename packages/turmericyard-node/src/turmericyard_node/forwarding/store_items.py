"""Translates items of the store between messages and the view."""

from collections.abc import Iterable

from turmericyard_clients.store import Change, Entry
from turmericyard_protocol.fleet_messages import StoreItem


def encode_items(entries: Iterable[Entry]) -> tuple[StoreItem, ...]:
    """Return the entries of a view as items of a message."""
    return tuple(
        StoreItem(entry.key, entry.value, entry.revision, entry.era)
        for entry in entries
    )


def read_changes(items: tuple[StoreItem, ...]) -> list[Change]:
    """Return the items as changes of the view."""
    return [
        Change(item.key, item.value, item.revision, item.era) for item in items
    ]


def read_entries(items: tuple[StoreItem, ...]) -> list[Entry]:
    """Return the items that exist as entries of the store."""
    return [
        Entry(item.key, item.value, item.revision, item.era)
        for item in items
        if item.value is not None
    ]
