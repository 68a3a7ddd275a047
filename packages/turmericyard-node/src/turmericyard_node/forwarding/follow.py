"""Keeps the view of the store up to date, from the store or from peers."""

from dataclasses import dataclass, field
from random import Random

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.contact import Contact
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_platform.store import Store, StoreError, WatchCompacted

#: The view has every item: one watch tells of all changes.
WHOLE = ''
#: Longest wait of one watch, in seconds: news behind a connection that has gone
#: silent are missed for this time and the store client's margin.
WATCH_SECONDS = 1.0
#: Pause between watches, in seconds: endpoints renew their records all the
#: time, and each answered watch is a paid call.
PAUSE_SECONDS = 0.15
#: Pause after a failed call, in seconds; drawn from half to the whole.
RETRY_SECONDS = 0.4


@dataclass(slots=True)
class Follower:
    """Follows the store; what it misses comes from peers."""

    store: Store
    contact: Contact
    knowledge: Knowledge
    clock: Clock
    random: Random = field(default_factory=Random)
    loaded: bool = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            followed = await (self.watch() if self.loaded else self.load())
            if followed:
                await curio.sleep(PAUSE_SECONDS)
            else:
                await curio.sleep(RETRY_SECONDS * self.random.uniform(0.5, 1))

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
            batch = seen.unwrap()
            self.knowledge.view.apply(batch.revision, batch.changes)
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
        self.knowledge.book.observe_trouble(self.clock())
