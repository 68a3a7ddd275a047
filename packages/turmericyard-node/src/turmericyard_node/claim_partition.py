"""One stored partition of claims: changes are committed in groups.

While one compare-and-swap is under way, further changes wait and are
committed together by the next one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import cbor2
import curio
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from turmericyard_clients.store import (
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
)
from turmericyard_decisions.claim import (
    Change,
    Partition,
    RetentionTimer,
    Verdict,
    apply_change,
)
from turmericyard_http.clock import Clock

#: Compare-and-swap attempts for one group of changes.
MAX_ATTEMPTS = 8

PARTITION = TypeAdapter(Partition)


@dataclass(slots=True)
class PendingChange:
    """A change and the event that its task waits for."""

    change: Change
    decided: curio.Event = field(default_factory=curio.Event)
    verdict: Result[Verdict, StoreError] | None = None


@dataclass(slots=True)
class PartitionCommitter:
    """Commits the changes that this node makes to one partition.

    While `fresh` is set, `partition` and `revision` are what this node read or
    wrote last; otherwise the next attempt reads them from the store.
    """

    key: str
    store: Store
    clock: Clock
    retention: RetentionTimer
    partition: Partition = field(default_factory=Partition)
    revision: int = 0
    fresh: bool = False
    pending: list[PendingChange] = field(default_factory=list)
    lock: curio.Lock = field(default_factory=curio.Lock)

    async def commit(self, change: Change) -> Result[Verdict, StoreError]:
        """Return the verdict on a change once it is durable."""
        pending = PendingChange(change)
        self.pending.append(pending)
        async with self.lock:
            if pending.verdict is None:
                group = self.pending
                self.pending = []
                await self.commit_group(group)
        return pending.verdict or Failure(
            StoreAnswerLost('claim change not committed')
        )

    async def commit_group(self, group: list[PendingChange]) -> None:
        """Commit changes together and set the verdict of each."""
        outcome = await self.write_group([each.change for each in group])
        if not isinstance(outcome, Success):
            for failed in group:
                failed.verdict = Failure(outcome.failure())
            return
        for each, verdict in zip(group, outcome.unwrap(), strict=True):
            each.verdict = Success(verdict)

    async def write_group(
        self, changes: list[Change]
    ) -> Result[list[Verdict], StoreError]:
        """Return the verdicts once the changed value is stored."""
        last: StoreError = StoreAnswerLost('partition is contended')
        for _ in range(MAX_ATTEMPTS):
            was_cached = self.fresh
            found = Success(self.partition) if was_cached else await self.read()
            if not isinstance(found, Success):
                return Failure(found.failure())
            changed, verdicts = apply_all(changes, self.rotated())
            written = await self.write_changed(changed, was_cached)
            if isinstance(written, Success):
                return Success(verdicts)
            last = written.failure()
            if not isinstance(last, StoreConflict | StoreAnswerLost):
                break
        return Failure(last)

    def rotated(self) -> Partition:
        """Return the partition, rotated to its next period when that is due."""
        if self.retention.due(self.partition.period, self.clock()):
            return self.partition.rotate()
        return self.partition

    async def read(self) -> Result[Partition, StoreError]:
        """Read the partition from the store."""
        found = await self.store.read(self.key)
        if not isinstance(found, Success):
            return Failure(found.failure())
        entry = found.unwrap()
        if entry is None:
            self.partition = Partition()
            self.revision = 0
        else:
            decoded = decode_partition(entry.value)
            if decoded is None:
                return Failure(StoreRefused(f'{self.key} is malformed'))
            self.partition = decoded
            self.revision = entry.revision
        self.fresh = True
        return Success(self.partition)

    async def write_changed(
        self, changed: Partition, was_cached: bool
    ) -> Result[int, StoreError]:
        """Write the changed partition, or confirm that nothing changed.

        Only a value that this attempt read can confirm that nothing changed. A
        cached value gives a conflict, so that the next attempt reads.
        """
        if changed != self.partition:
            return await self.write(changed)
        self.fresh = not was_cached
        if was_cached:
            return Failure(StoreConflict(self.revision))
        return Success(self.revision)

    async def write(self, changed: Partition) -> Result[int, StoreError]:
        """Replace the stored partition; after a failure it is read again."""
        written = await self.store.write(
            self.key, encode_partition(changed), expected=self.revision
        )
        self.fresh = isinstance(written, Success)
        if isinstance(written, Success):
            self.partition = changed
            self.revision = written.unwrap()
        return written


def apply_all(
    changes: list[Change], partition: Partition
) -> tuple[Partition, list[Verdict]]:
    """Return the partition after all changes, and their verdicts."""
    verdicts = []
    for change in changes:
        partition, verdict = apply_change(change, partition)
        verdicts.append(verdict)
    return partition, verdicts


def encode_partition(partition: Partition) -> bytes:
    """Return the value to store."""
    plain: Mapping[str, object] = PARTITION.dump_python(partition, mode='json')
    return cbor2.dumps(plain)


def decode_partition(value: bytes) -> Partition | None:
    """Return the partition in a stored value; None when it is malformed."""
    try:
        return PARTITION.validate_python(cbor2.loads(value))
    except (ValidationError, cbor2.CBORDecodeError):
        return None
