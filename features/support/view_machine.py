"""A store, restored at times, hubs that lag, and a node that hears of all."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from msgspec.structs import replace

from turmericyard_clients.store import Change, Entry, Position
from turmericyard_node.forwarding.view import StoreView

KEYS = ('servers/a', 'servers/b', 'op/evacuate/z')
HUBS = 2


class ViewMachine(RuleBasedStateMachine):
    """The view must hold the newest that was heard of each key.

    `logs` are the store's changes by era and revision; `told` is how much each
    hub has passed on of the era that it is in; `heard` maps a key to the newest
    change heard of it.
    """

    @initialize()
    def start(self) -> None:
        self.logs: list[list[Change]] = [[]]
        self.eras = [0] * HUBS
        self.told = [0] * HUBS
        self.gapped: set[int] = set()
        self.heard: dict[str, Change] = {}
        self.view = StoreView()
        self.shown: list[Change] = []
        self.view.listeners.append(self.shown.append)

    @rule(key=st.sampled_from(KEYS), exists=st.booleans())
    def change_store(self, key: str, exists: bool) -> None:
        log = self.logs[-1]
        era = len(self.logs) - 1
        revision = len(log) + 1
        value = b'%d in %d' % (revision, era) if exists else None
        log.append(Change(key, value, revision, era))

    @rule(lost=st.integers(0, 5))
    def restore_store(self, lost: int) -> None:
        """The store goes on from a copy without its last changes."""
        log = self.logs[-1]
        kept = log[: max(0, len(log) - lost)]
        era = len(self.logs)
        self.logs.append([replace(change, era=era) for change in kept])

    @rule(hub=st.integers(0, HUBS - 1))
    def follow_store(self, hub: int) -> None:
        """A hub reads the store's latest era, and will tell everything."""
        self.eras[hub] = len(self.logs) - 1
        self.told[hub] = len(self.logs[-1])
        self.gapped.add(hub)

    @rule(hub=st.integers(0, HUBS - 1), count=st.integers(1, 4))
    def pass_on(self, hub: int, count: int) -> None:
        """A hub passes on the next changes, in their order."""
        begin = self.told[hub]
        batch = self.log_of(hub)[begin : begin + count]
        self.told[hub] = begin + len(batch)
        complete = hub not in self.gapped
        era = self.eras[hub]
        position = (self.told[hub], era) if complete else (0, 0)
        self.view.apply(position[0], batch, position[1])
        self.hear(batch)

    @rule(hub=st.integers(0, HUBS - 1), skipped=st.integers(1, 3))
    def pass_on_after_gap(self, hub: int, skipped: int) -> None:
        """An update is lost; the next one tells one change without it.

        Until the hub tells everything, its updates don't carry the view on.
        """
        log = self.log_of(hub)
        self.told[hub] = min(self.told[hub] + skipped, len(log))
        self.gapped.add(hub)
        batch = log[self.told[hub] : self.told[hub] + 1]
        self.told[hub] += len(batch)
        self.view.apply(0, batch)
        self.hear(batch)

    @rule(hub=st.integers(0, HUBS - 1))
    def tell_all(self, hub: int) -> None:
        """A hub tells everything that it knows."""
        self.gapped.discard(hub)
        self.show_whole(self.eras[hub], self.told[hub])

    @rule()
    def read_all(self) -> None:
        """The node reads everything from the store."""
        era = len(self.logs) - 1
        revision = len(self.logs[-1])
        self.show_whole(era, revision)
        assert self.view.items == self.store_at(era, revision)

    def log_of(self, hub: int) -> list[Change]:
        return self.logs[self.eras[hub]]

    def show_whole(self, era: int, revision: int) -> None:
        items = self.store_at(era, revision)
        is_current = self.view.replace(revision, items.values(), era)
        for key in KEYS:
            entry = items.get(key)
            if entry:
                self.hear([Change(key, entry.value, entry.revision, era)])
            elif is_current:
                self.hear([Change(key, None, revision, era)])

    def store_at(self, era: int, revision: int) -> dict[str, Entry]:
        items = {}
        for change in self.logs[era][:revision]:
            items.pop(change.key, None)
            if change.value is not None:
                items[change.key] = Entry(
                    change.key, change.value, change.revision, era
                )
        return items

    def hear(self, batch: list[Change]) -> None:
        for change in batch:
            known = self.heard.get(change.key)
            if known is None or known.position < change.position:
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
        newest: dict[str, Position] = {}
        for change in self.shown:
            last = newest.get(change.key, (0, 0))
            assert change.position > last, self.shown
            newest[change.key] = change.position
