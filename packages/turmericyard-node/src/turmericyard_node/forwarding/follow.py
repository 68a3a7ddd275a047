"""Keeps the view of the store up to date, from the store or from peers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import curio
from returns.result import Success

from turmericyard_clients.store import (
    Change,
    Store,
    StoreError,
    WatchCompacted,
)
from turmericyard_http.clock import Clock
from turmericyard_node.contact import Contact
from turmericyard_node.forwarding.knowledge import Knowledge

#: The view has every item: one watch tells of all changes.
WHOLE = ''
#: Longest wait of one watch, in seconds: news behind a connection that has gone
#: silent are missed for this time and the store client's margin.
WATCH_SECONDS = 1.0
#: Pause between watches, in seconds: endpoints renew their records all the
#: time, and each answered watch is a paid call.
PAUSE_SECONDS = 0.15
#: The same at a node that nobody relies on, which follows the store while its
#: hubs are out of reach: with a watch's answer still well inside the time in
#: which a configuration must be in force (2 s).
OWN_PAUSE_SECONDS = 0.5
#: Pause after a failed call, in seconds; drawn from half to the whole.
RETRY_SECONDS = 0.4
RETRY_SPREAD = (0.5, 1.0)
#: The same at a node that only stands in for hubs without news.
STAND_IN_SECONDS = 1.6
#: Time after which all items are read again, in seconds: it repairs what a
#: watch did not tell.
LIST_SECONDS = 6.0
#: Time between two looks whether this node must follow the store, in seconds.
LOOK_SECONDS = 0.25


@dataclass(slots=True)
class Follower:
    """Follows the store where that is needed; else hubs tell the news.

    `is_relied_on` says whether others go by this node's view, `is_needed`
    whether it must ask the store itself.
    """

    store: Store
    contact: Contact
    knowledge: Knowledge
    clock: Clock
    is_needed: Callable[[], bool]
    is_relied_on: Callable[[], bool]
    random: Random = field(default_factory=Random)
    loaded: bool = False
    list_at: float = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if self.loaded and not self.is_needed():
                await curio.sleep(LOOK_SECONDS)
                continue
            if self.clock() >= self.list_at:
                self.loaded = False
            followed = await (self.watch() if self.loaded else self.load())
            await self.knowledge.flush()
            await curio.sleep(self.pause(followed=followed))

    def pause(self, *, followed: bool) -> float:
        """Return the time until the next call, in seconds."""
        if followed:
            return PAUSE_SECONDS if self.is_relied_on() else OWN_PAUSE_SECONDS
        longest = RETRY_SECONDS if self.is_relied_on() else STAND_IN_SECONDS
        return longest * self.random.uniform(*RETRY_SPREAD)

    async def load(self) -> bool:
        """Read all items; return whether the store answered."""
        listed = await self.store.list_prefix(WHOLE)
        if not isinstance(listed, Success):
            self.miss(listed.failure())
            return False
        self.hear()
        snapshot = listed.unwrap()
        self.loaded = self.knowledge.view.replace(
            snapshot.revision, snapshot.entries
        )
        self.list_at = self.clock() + LIST_SECONDS
        return self.loaded

    async def watch(self) -> bool:
        """Take over the next changes; return whether the store answered."""
        seen = await self.store.watch(
            WHOLE,
            after=self.knowledge.view.revision,
            wait_seconds=WATCH_SECONDS,
        )
        if isinstance(seen, Success):
            self.hear()
            changes = seen.unwrap().changes
            self.knowledge.view.apply(last_revision(changes), changes)
            return True
        error = seen.failure()
        if isinstance(error, WatchCompacted):
            self.loaded = False
            return True
        self.miss(error)
        return False

    def hear(self) -> None:
        """Note an answer of the store."""
        now = self.clock()
        self.contact.heard_store(now)
        self.knowledge.book.expire(now)

    def miss(self, error: StoreError) -> None:
        """Note a failed call."""
        self.contact.missed_store(error.message)
        self.knowledge.book.failed_at = self.clock()


def last_revision(changes: Iterable[Change]) -> int:
    """Return the revision up to which a watch has told, 0 for an empty one.

    The revision of the store is no measure: a watch may hear nothing while
    changes are made, and going on behind them would miss them for good.
    """
    return max((change.revision for change in changes), default=0)
