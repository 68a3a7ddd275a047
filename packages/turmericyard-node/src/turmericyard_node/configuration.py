"""Keeps the newest valid configuration, from the store or from peers.

The store is watched and read again at intervals. The highest revision wins;
an older one is ignored, whatever its source.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
from returns.result import Result, Success

from turmericyard_clients.store import (
    Entry,
    Store,
    StoreError,
    WatchCompacted,
)
from turmericyard_http.clock import Clock
from turmericyard_node.clock import Jitter, create_jitter
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_tables.document import CONFIGURATION_KEY, decode_document
from turmericyard_tables.models import Configuration

WATCH_WAIT_SECONDS = 1.0
#: Mean time between two reads of the value by any node of the fleet, in
#: seconds.
FLEET_REREAD_SECONDS = 0.5
#: Maximum of the mean time between two reads by one node, in seconds.
MAX_REREAD_SECONDS = 120.0
RETRY_SECONDS = 0.3

Subscriber = Callable[[Configuration], Awaitable[None]]


@dataclass(slots=True)
class ConfigurationService:
    """The configuration in force at this node."""

    store: Store
    contact: ContactTimes
    clock: Clock
    fleet_size: Callable[[], int]
    jitter: Jitter = field(default_factory=create_jitter)
    current: Configuration = field(default_factory=Configuration)
    value: bytes = b''
    refused_revision: int = 0
    watched_revision: int = 0
    subscribers: list[Subscriber] = field(default_factory=list)

    async def offer(self, value: bytes, revision: int) -> bool:
        """Apply a newer, valid stored value; return whether it was applied."""
        if revision <= max(self.current.revision, self.refused_revision):
            return False
        decoded = decode_document(value, revision)
        if not isinstance(decoded, Success):
            self.refused_revision = revision
            log_event(
                Event.CONFIGURATION_REFUSED,
                revision=revision,
                message=decoded.failure().message,
            )
            return False
        self.current = decoded.unwrap()
        self.value = value
        log_event(Event.CONFIGURATION_ACCEPTED, revision=revision)
        for subscriber in self.subscribers:
            await subscriber(self.current)
        return True

    async def run(self) -> None:
        """Read and watch the stored configuration until cancelled."""
        while True:
            entry = await self.read()
            if entry is None:
                await curio.sleep(RETRY_SECONDS)
            else:
                await self.watch_until(
                    self.clock() + self.reread_interval_seconds()
                )

    def reread_interval_seconds(self) -> float:
        """Return the time until this node reads the value again.

        It grows with the fleet, since heartbeats carry what one node reads to
        the others.
        """
        mean = FLEET_REREAD_SECONDS * max(1, self.fleet_size())
        return min(mean, MAX_REREAD_SECONDS) * self.jitter()

    async def read(self) -> Entry | None:
        """Read the stored value and apply it; None when the store fails."""
        asked_at = self.clock()
        found: Result[Entry | None, StoreError] = await self.store.read(
            CONFIGURATION_KEY
        )
        if not isinstance(found, Success):
            self.contact.record_store_failure(found.failure().message)
            return None
        self.contact.record_store_contact(asked_at)
        entry = found.unwrap() or Entry(CONFIGURATION_KEY, b'', 0)
        if entry.revision:
            await self.offer(entry.value, entry.revision)
        self.watched_revision = max(self.watched_revision, entry.revision)
        return entry

    async def watch_until(self, deadline: float) -> None:
        """Watch until the next read is due or the watch fails.

        The next read finds a change whose watch event was lost.
        """
        while self.clock() < deadline:
            asked_at = self.clock()
            watched = await self.store.watch(
                CONFIGURATION_KEY,
                after=self.watched_revision,
                wait_seconds=max(
                    0, min(WATCH_WAIT_SECONDS, deadline - asked_at)
                ),
            )
            if not isinstance(watched, Success):
                await self.handle_watch_error(watched.failure())
                return
            self.contact.record_store_contact(asked_at)
            batch = watched.unwrap()
            for change in batch.changes:
                if change.value is not None:
                    await self.offer(change.value, change.revision)
            self.watched_revision = max(self.watched_revision, batch.revision)

    async def handle_watch_error(self, error: StoreError) -> None:
        """Handle a failed watch; waits before a retry if the store failed."""
        if isinstance(error, WatchCompacted):
            return
        self.contact.record_store_failure(error.message)
        await curio.sleep(RETRY_SECONDS)
