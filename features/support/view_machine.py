"""A store, hubs that lag behind it, and a node that hears of them all."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from turmericyard_clients.store import Change, Entry
from turmericyard_node.forwarding.view import StoreView

KEYS = ('servers/a', 'servers/b', 'op/evacuate/z')
HUBS = 2


class ViewMachine(RuleBasedStateMachine):
    """The view must hold the newest that was heard of each key.

    `log` are the store's changes by revision; `told` is how much of it each
    hub has passed on; `heard` maps a key to the newest change heard of it.
    """

    @initialize()
    def start(self) -> None:
        self.log: list[Change] = []
        self.told = [0] * HUBS
        self.gapped: set[int] = set()
        self.heard: dict[str, Change] = {}
        self.view = StoreView()
        self.shown: list[Change] = []
        self.view.listeners.append(self.shown.append)

    @rule(key=st.sampled_from(KEYS), exists=st.booleans())
    def change_store(self, key: str, exists: bool) -> None:
        revision = len(self.log) + 1
        value = b'%d' % revision if exists else None
        self.log.append(Change(key, value, revision))

    @rule(hub=st.integers(0, HUBS - 1), count=st.integers(1, 4))
    def pass_on(self, hub: int, count: int) -> None:
        """A hub passes on the next changes, in their order."""
        begin = self.told[hub]
        batch = self.log[begin : begin + count]
        self.told[hub] = begin + len(batch)
        complete = hub not in self.gapped
        self.view.apply(self.told[hub] if complete else 0, batch)
        self.hear(batch)

    @rule(hub=st.integers(0, HUBS - 1), skipped=st.integers(1, 3))
    def pass_on_after_gap(self, hub: int, skipped: int) -> None:
        """An update is lost; the next one tells one change without it.

        Until the hub tells everything, its updates don't carry the view on.
        """
        self.told[hub] = min(self.told[hub] + skipped, len(self.log))
        self.gapped.add(hub)
        batch = self.log[self.told[hub] : self.told[hub] + 1]
        self.told[hub] += len(batch)
        self.view.apply(0, batch)
        self.hear(batch)

    @rule(hub=st.integers(0, HUBS - 1))
    def tell_all(self, hub: int) -> None:
        """A hub tells everything that it knows."""
        self.gapped.discard(hub)
        self.show_whole(self.told[hub])

    @rule()
    def read_all(self) -> None:
        """The node reads everything from the store."""
        self.show_whole(len(self.log))
        assert self.view.items == self.store_at(len(self.log))

    def show_whole(self, revision: int) -> None:
        items = self.store_at(revision)
        if not self.view.replace(revision, items.values()):
            return
        for key in KEYS:
            entry = items.get(key)
            at = entry.revision if entry else revision
            self.hear([Change(key, entry.value if entry else None, at)])

    def store_at(self, revision: int) -> dict[str, Entry]:
        items = {}
        for change in self.log[:revision]:
            items.pop(change.key, None)
            if change.value is not None:
                items[change.key] = Entry(
                    change.key, change.value, change.revision
                )
        return items

    def hear(self, batch: list[Change]) -> None:
        for change in batch:
            known = self.heard.get(change.key)
            if known is None or known.revision < change.revision:
                self.heard[change.key] = change

    @invariant()
    def holds_the_newest(self) -> None:
        expected = {
            change.key: change.value
            for change in self.heard.values()
            if change.value is not None
        }
        held = {key: entry.value for key, entry in self.view.items.items()}
        assert held == expected, (held, expected)

    @invariant()
    def never_goes_back(self) -> None:
        newest: dict[str, int] = {}
        for change in self.shown:
            assert change.revision > newest.get(change.key, 0), self.shown
            newest[change.key] = change.revision
