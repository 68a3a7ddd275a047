"""In-memory store with the faults of the platform's, for tests.

`faults` is consumed one fault a call and `write_faults` one a write; `down`
refuses every call. `before_write` runs just before a write is judged, to let another writer race it. Time is
`now`, set by the test; leases lapse by it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import curio
from returns.result import Failure, Result, Success

from turmericyard_clients.store import (
    MAX_VALUE_BYTES,
    Change,
    Entry,
    Snapshot,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    WatchBatch,
)


class Fault(Enum):
    NONE = 'none'
    UNAVAILABLE = 'refused, no effect'
    ANSWER_LOST = 'takes effect, answer lost'
    REQUEST_LOST = 'no effect, answer lost'
    LATE = 'takes effect when land_late_writes is called, answer lost'


@dataclass
class FakeLease:
    ttl_seconds: float
    expires_at: float


@dataclass
class FakeStore:
    down: bool = False
    now: float = 0
    revision: int = 0
    faults: deque[Fault] = field(default_factory=deque)
    write_faults: deque[Fault] = field(default_factory=deque)
    before_write: Callable[[], None] | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    key_leases: dict[str, str] = field(default_factory=dict)
    leases: dict[str, FakeLease] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    late_writes: list[Callable[[], object]] = field(default_factory=list)
    calls: int = 0

    def next_fault(self) -> Fault:
        self.calls += 1
        self.expire_leases()
        if self.down:
            return Fault.UNAVAILABLE
        return self.faults.popleft() if self.faults else Fault.NONE

    def next_write_fault(self) -> Fault:
        fault = self.next_fault()
        if fault is Fault.NONE and self.write_faults:
            return self.write_faults.popleft()
        return fault

    def expire_leases(self) -> None:
        for lease, state in list(self.leases.items()):
            if state.expires_at <= self.now:
                self.drop_lease(lease)

    def drop_lease(self, lease: str) -> None:
        self.leases.pop(lease, None)
        for key, holder in list(self.key_leases.items()):
            if holder == lease:
                self.remove(key)

    def land_late_writes(self) -> None:
        while self.late_writes:
            self.late_writes.pop(0)()

    def record(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        self.changes.append(Change(key, value, self.revision))
        return self.revision

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str | None
    ) -> Result[int, StoreError]:
        if len(value) > MAX_VALUE_BYTES:
            return Failure(StoreRefused('value too large'))
        if lease is not None and lease not in self.leases:
            return Failure(StoreRefused('lease unknown'))
        current = self.current_revision(key)
        if expected is not None and expected != current:
            return Failure(StoreConflict(current))
        revision = self.record(key, value)
        self.entries[key] = Entry(key, value, revision)
        self.key_leases.pop(key, None)
        if lease is not None:
            self.key_leases[key] = lease
        return Success(revision)

    def remove(self, key: str) -> int:
        self.entries.pop(key, None)
        self.key_leases.pop(key, None)
        return self.record(key, None)

    def current_revision(self, key: str) -> int:
        entry = self.entries.get(key)
        return entry.revision if entry else 0

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        return Success(self.entries.get(key))

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None,
        lease: str | None = None,
    ) -> Result[int, StoreError]:
        fault = self.next_write_fault()
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        return self.judge(fault, lambda: self.put(key, value, expected, lease))

    async def delete(
        self, key: str, *, expected: int | None
    ) -> Result[int, StoreError]:
        def run() -> Result[int, StoreError]:
            current = self.current_revision(key)
            if expected is not None and expected != current:
                return Failure(StoreConflict(current))
            return Success(self.remove(key))

        return self.judge(self.next_write_fault(), run)

    def judge(
        self, fault: Fault, run: Callable[[], Result[int, StoreError]]
    ) -> Result[int, StoreError]:
        if fault is Fault.NONE:
            return run()
        if fault is Fault.UNAVAILABLE:
            return Failure(StoreUnavailable('fault'))
        if fault is Fault.ANSWER_LOST:
            run()
        elif fault is Fault.LATE:
            self.late_writes.append(run)
        return Failure(StoreAnswerLost('fault'))

    async def list_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        entries = tuple(
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        )
        return Success(Snapshot(self.revision, entries))

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[WatchBatch, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        async with curio.ignore_after(wait_seconds):
            while not self.changes_after(prefix, after):
                await curio.sleep(0.005)
        return Success(
            WatchBatch(self.revision, self.changes_after(prefix, after))
        )

    def changes_after(self, prefix: str, after: int) -> tuple[Change, ...]:
        return tuple(
            change
            for change in self.changes
            if change.revision > after and change.key.startswith(prefix)
        )

    async def grant_lease(self, ttl_seconds: float) -> Result[str, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        lease = f'lease-{self.calls}'
        self.leases[lease] = FakeLease(ttl_seconds, self.now + ttl_seconds)
        return Success(lease)

    async def renew_lease(self, lease: str) -> Result[None, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        state = self.leases.get(lease)
        if state is None:
            return Failure(StoreRefused('lease unknown'))
        state.expires_at = self.now + state.ttl_seconds
        return Success(None)

    async def revoke_lease(self, lease: str) -> Result[None, StoreError]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreUnavailable('fault'))
        self.drop_lease(lease)
        return Success(None)
