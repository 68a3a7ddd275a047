"""Keeps the view of the store up to date by watches."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import curio
from returns.result import Success

from turmericyard_clients.store import (
    Change,
    Snapshot,
    Store,
    StoreAnswerLost,
    StoreError,
    WatchBatch,
    WatchCompacted,
)
from turmericyard_http.clock import Clock
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import RENEWAL_SECONDS
from turmericyard_node.forwarding.platform_state import PlatformState

#: Prefix of every key: the view has all items, and one watch covers them.
ALL_KEYS = ''
#: Longest wait of one watch, in seconds: when a connection stops answering,
#: changes are missed for this time and the store client's margin.
WATCH_SECONDS = 0.7
#: Pause between watches, in seconds: endpoints renew their records
#: continuously, and each answered watch is a paid call.
PAUSE_SECONDS = 0.15
#: The same at a node whose view no other node uses and which follows the store
#: while its hubs are unreachable. Together with a watch's answer it stays well
#: within the time in which a configuration must be in force (2 s).
FALLBACK_PAUSE_SECONDS = 0.5
#: Pause after a failed call, in seconds; multiplied by a random factor.
RETRY_SECONDS = 0.4
#: Range of the random factor of that pause: half of the pause to all of it.
RETRY_JITTER = (0.5, 1.0)
#: The same at a node whose view no other node uses.
FALLBACK_RETRY_SECONDS = 1.6
#: Time after which all items are read again, in seconds, so that changes that a
#: watch missed are applied.
RELIST_SECONDS = 6.0
#: Interval of checks whether this node must follow the store, in seconds.
CHECK_SECONDS = 0.1


async def announce_nothing() -> None:
    """Tell nobody."""


@dataclass(slots=True)
class Follower:
    """Follows the store when this node must; otherwise hubs send the changes.

    `is_relied_on` says whether other nodes use this node's view, `is_needed`
    whether this node must read the store itself.
    """

    store: Store
    contact: ContactTimes
    platform_state: PlatformState
    clock: Clock
    is_needed: Callable[[], bool]
    is_relied_on: Callable[[], bool]
    #: Returns the age of each hub's last answer from the store, for the log.
    store_ages: Callable[[], dict[str, float]] = dict
    #: Tells the hubs at once that this node has changes that they may lack.
    announce: Callable[[], Awaitable[None]] = announce_nothing
    #: Whether this node read the store when it was last checked.
    was_needed: bool = False
    #: Whether the last call failed, and whether the next one follows at once.
    has_failed: bool = False
    retries_now: bool = False
    random: Random = field(default_factory=Random)
    loaded: bool = False
    relist_at: float = 0
    #: Era of the last listing, None before the first.
    era: int | None = None
    #: When the store answered this node's last call and the one before.
    answered_at: float = float('-inf')
    answered_before: float = float('-inf')
    #: Until when items that a restored store lacks may be written again.
    confirm_by: float = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self.store.eras.on_invalid = log_invalid_era
        while True:
            self.log_need()
            if self.loaded and not self.was_needed:
                await curio.sleep(CHECK_SECONDS)
                continue
            if self.clock() >= self.relist_at or self.is_behind():
                self.loaded = False
            answered = await (self.watch() if self.loaded else self.load())
            await self.publish()
            await curio.sleep(self.pause(answered=answered))

    async def publish(self) -> None:
        """Tell the other parts of the node, and its hubs, of changes."""
        has_news = self.platform_state.has_changed
        await self.platform_state.flush()
        if has_news and not self.is_relied_on():
            await self.announce()

    def log_need(self) -> None:
        """Log when this node begins or ceases to read the store itself."""
        needed = self.is_needed()
        if needed != self.was_needed:
            self.was_needed = needed
            event = Event.STORE_FOLLOWED if needed else Event.HUBS_FOLLOWED
            log_event(event, ages=self.store_ages())

    def pause(self, *, answered: bool) -> float:
        """Return the time until the next call, in seconds."""
        if self.retries_now:
            self.retries_now = False
            return 0
        if answered:
            return (
                PAUSE_SECONDS if self.is_relied_on() else FALLBACK_PAUSE_SECONDS
            )
        longest = (
            RETRY_SECONDS if self.is_relied_on() else FALLBACK_RETRY_SECONDS
        )
        return longest * self.random.uniform(*RETRY_JITTER)

    async def load(self) -> bool:
        """Read all items; return whether the store answered."""
        listed = await self.store.list_prefix(ALL_KEYS)
        if not isinstance(listed, Success):
            self.record_failure(listed.failure())
            return False
        self.record_answer()
        snapshot = listed.unwrap()
        now = self.clock()
        if snapshot.era != self.era:
            self.start_era(snapshot)
        keep_missing = now < self.confirm_by
        view = self.platform_state.view
        self.loaded = view.replace(
            snapshot.revision,
            snapshot.entries,
            snapshot.era,
            keep_missing=keep_missing,
        )
        if not self.loaded:
            log_event(
                Event.STORE_OUTDATED,
                era=snapshot.era,
                revision=snapshot.revision,
                known_era=view.era,
                known=view.revision,
            )
        self.relist_at = (
            self.confirm_by if keep_missing else now + RELIST_SECONDS
        )
        return self.loaded

    def start_era(self, snapshot: Snapshot) -> None:
        """Give the writers of lost items time to write them again."""
        if self.era is not None:
            log_event(
                Event.STORE_RESTORED,
                era=snapshot.era,
                revision=snapshot.revision,
                known=self.platform_state.view.revision,
            )
        self.era = snapshot.era
        self.confirm_by = self.clock() + RENEWAL_SECONDS

    def is_behind(self) -> bool:
        """Return whether the store was restored since the last listing."""
        eras = (self.store.eras.latest, self.platform_state.view.era)
        return self.era is None or max(eras) > self.era

    async def watch(self) -> bool:
        """Apply the next changes; return whether the store answered."""
        watched = await self.store.watch(
            ALL_KEYS,
            after=self.platform_state.view.revision,
            wait_seconds=WATCH_SECONDS,
        )
        if isinstance(watched, Success):
            self.record_answer()
            self.apply_batch(watched.unwrap())
            return True
        error = watched.failure()
        if isinstance(error, WatchCompacted):
            self.loaded = False
            return True
        self.record_failure(error)
        return False

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply the changes of a watch unless it missed those of a restore."""
        if batch.era != self.era:
            self.loaded = False
            return
        self.platform_state.view.apply(
            latest_revision(batch.changes), batch.changes, batch.era
        )
        self.platform_state.record_renewals(batch.changes, self.answered_before)

    def record_answer(self) -> None:
        """Record an answer of the store."""
        now = self.clock()
        self.has_failed = False
        self.contact.record_store_contact(now)
        registry = self.platform_state.registry
        self.answered_before = self.answered_at
        self.answered_at = now
        registry.answers.record(now)
        registry.expire(now)

    def record_failure(self, error: StoreError) -> None:
        """Record a failed call.

        The first answer that is lost may only be that of a connection which
        fell silent: the call is repeated at once, on another one.
        """
        self.retries_now = isinstance(error, StoreAnswerLost) and not (
            self.has_failed
        )
        self.has_failed = True
        self.contact.record_store_failure(error.message)
        self.platform_state.registry.failed_at = self.clock()


def log_invalid_era(named: str | None, latest: int) -> None:
    """Log that an answer of the store names no valid era."""
    log_event(Event.STORE_ERA_INVALID, named=named, era=latest)


def latest_revision(changes: Iterable[Change]) -> int:
    """Return the latest revision among a watch's changes, 0 without any.

    The store's revision must not be used: a watch may return nothing while
    changes are made, and continuing after that revision would never see them.
    """
    return max((change.revision for change in changes), default=0)
