"""Keys, revisions, leases and the change log of the store stand-in."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from turmericyard_clients.store import (
    MAX_VALUE_BYTES,
    Change,
    Entry,
    Snapshot,
    StoreConflict,
    StoreError,
    StoreRefused,
    WatchBatch,
    WatchCompacted,
)

#: Longest change log, in changes; older revisions are compacted.
MAX_CHANGES = 1000


@dataclass(slots=True)
class StoredValue:
    """A value, the revision of its last change and its lease, if any."""

    value: bytes
    revision: int
    lease: str | None


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it; times in seconds."""

    ttl: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StoreState:
    """All data of a store; each change gets the next revision.

    `max_changes` limits the length of the change log; `compacted_revision` is
    the newest revision removed from it. `dropped_changes` is a fault: the
    number of next changes that are left out of the log. `granted_leases` counts
    all leases granted so far.
    """

    max_changes: int = MAX_CHANGES
    dropped_changes: int = 0
    revision: int = 0
    stored: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    changes: deque[Change] = field(default_factory=deque)
    granted_leases: int = 0
    compacted_revision: int = 0

    def read(self, key: str) -> Entry | None:
        """Return the entry, or None when the key does not exist."""
        found = self.stored.get(key)
        if found is None:
            return None
        return Entry(key, found.value, found.revision)

    def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None,
        lease: str | None = None,
    ) -> Result[int, StoreError]:
        """Write a key if it is at `expected`; return the new revision."""
        refusal = self.write_refusal(key, value, expected, lease)
        if refusal is not None:
            return Failure(refusal)
        self.detach(key)
        if lease is not None:
            self.leases[lease].keys.add(key)
        revision = self.append_change(key, value)
        self.stored[key] = StoredValue(value, revision, lease)
        return Success(revision)

    def write_refusal(
        self, key: str, value: bytes, expected: int | None, lease: str | None
    ) -> StoreError | None:
        """Return why a write is refused, or None when it is allowed."""
        if len(value) > MAX_VALUE_BYTES:
            return StoreRefused(f'value over {MAX_VALUE_BYTES} bytes')
        if lease is not None and lease not in self.leases:
            return StoreRefused('lease')
        return self.conflict(key, expected)

    def conflict(self, key: str, expected: int | None) -> StoreError | None:
        """Return the conflict with the expected revision, or None."""
        found = self.stored.get(key)
        current = found.revision if found else 0
        if expected is None or expected == current:
            return None
        return StoreConflict(current)

    def delete(
        self, key: str, *, expected: int | None
    ) -> Result[int, StoreError]:
        """Delete a key if it is at `expected`; a missing key is no change."""
        refusal = self.conflict(key, expected)
        if refusal is not None:
            return Failure(refusal)
        if key in self.stored:
            self.remove(key)
        return Success(self.revision)

    def list_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with the prefix."""
        entries = tuple(
            Entry(key, found.value, found.revision)
            for key, found in sorted(self.stored.items())
            if key.startswith(prefix)
        )
        return Snapshot(self.revision, entries)

    def changes_after(
        self, prefix: str, after: int
    ) -> Result[WatchBatch, StoreError]:
        """Return the logged changes under the prefix after a revision."""
        if after < self.compacted_revision:
            return Failure(WatchCompacted(self.compacted_revision))
        found = tuple(
            change
            for change in self.changes
            if change.revision > after and change.key.startswith(prefix)
        )
        return Success(WatchBatch(self.revision, found))

    def oldest_change(self, prefix: str) -> Change | None:
        """Return the oldest logged change under the prefix."""
        matching = (
            change for change in self.changes if change.key.startswith(prefix)
        )
        return next(matching, None)

    def grant_lease(self, ttl: float, now: float) -> str:
        """Create a lease of `ttl` seconds and return its id."""
        self.granted_leases += 1
        lease_id = f'lease-{self.granted_leases}'
        self.leases[lease_id] = Lease(ttl, now + ttl)
        return lease_id

    def renew_lease(self, lease_id: str, now: float) -> bool:
        """Extend the lease; return False when it has expired."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_at = now + lease.ttl
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """End the lease and remove its keys; unknown ids are ignored."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            self.remove(key)

    def expire_leases(self, now: float) -> None:
        """Revoke every expired lease."""
        for lease_id in list(self.expired_leases(now)):
            self.revoke_lease(lease_id)

    def expired_leases(self, now: float) -> Iterator[str]:
        """Yield the ids of expired leases."""
        for lease_id, lease in self.leases.items():
            if lease.expires_at <= now:
                yield lease_id

    def remove(self, key: str) -> None:
        """Delete an existing key."""
        self.detach(key)
        self.stored.pop(key)
        self.append_change(key, None)

    def detach(self, key: str) -> None:
        """Detach the key from its lease, if it has one."""
        found = self.stored.get(key)
        if found is not None and found.lease in self.leases:
            self.leases[found.lease].keys.discard(key)

    def append_change(self, key: str, value: bytes | None) -> int:
        """Append one change to the log and return its revision."""
        self.revision += 1
        if self.dropped_changes:
            self.dropped_changes -= 1
            return self.revision
        self.changes.append(Change(key, value, self.revision))
        while len(self.changes) > self.max_changes:
            self.compacted_revision = self.changes.popleft().revision
        return self.revision
