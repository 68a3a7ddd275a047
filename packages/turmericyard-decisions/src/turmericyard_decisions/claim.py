"""Claims on request keys, many of them in one stored value.

A partition is the content of one value in the store and is changed by
compare-and-swap. Changes are idempotent: when the answer to a write was lost,
the change is applied again to the value that is read back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import singledispatch
from hashlib import blake2b

#: Length of a claim's name, a digest of workspace and key, in bytes.
NAME_BYTES = 16

#: Longest outcome that is stored, in bytes.
MAX_OUTCOME_BYTES = 4096

#: Space that one claim takes in addition to its outcome, in bytes.
CLAIM_OVERHEAD_BYTES = 200

#: Largest partition, in bytes; it is below the store's limit for a value.
MAX_PARTITION_BYTES = 800_000


class ClaimState(Enum):
    """Known state of the call for a claimed key."""

    CLAIMED = 'claimed'
    RAN = 'ran'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of one attempt; `outcome` is set once its call has run."""

    claimant: str
    fingerprint: str
    state: ClaimState = ClaimState.CLAIMED
    outcome: str = ''

    def size(self) -> int:
        """Return the approximate bytes of the claim in the stored value."""
        return CLAIM_OVERHEAD_BYTES + len(self.outcome.encode())


@dataclass(frozen=True, slots=True)
class Partition:
    """Claims by name, of the current and the previous retention period."""

    period: int = 0
    current: Mapping[str, Claim] = field(default_factory=dict)
    previous: Mapping[str, Claim] = field(default_factory=dict)

    def find(self, name: str) -> Claim | None:
        """Return the claim with the name, None when there is none."""
        return self.current.get(name) or self.previous.get(name)

    def put(self, name: str, claim: Claim) -> 'Partition':
        """Return the partition with the claim added to the current period."""
        return replace(self, current={**self.current, name: claim})

    def size(self) -> int:
        """Return the approximate size of the stored value, in bytes."""
        claims = (*self.current.values(), *self.previous.values())
        return sum(claim.size() for claim in claims)

    def rotate(self) -> 'Partition':
        """Return the partition of the next period.

        Claims of the previous period are dropped.
        """
        return Partition(self.period + 1, {}, self.current)


@dataclass(frozen=True, slots=True)
class Acquire:
    """An attempt claims a key; `claimant` is unique to the attempt."""

    name: str
    claimant: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class Record:
    """The claimant records that its call ran, with the outcome."""

    name: str
    claimant: str
    fingerprint: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Abandon:
    """The claimant has not sent its call and will not send it.

    A claim of the same attempt that arrives later is refused.
    """

    name: str
    claimant: str
    fingerprint: str


Change = Acquire | Record | Abandon


@dataclass(frozen=True, slots=True)
class Acquired:
    """The change was applied; after `Acquire` the attempt may send its call."""


@dataclass(frozen=True, slots=True)
class Held:
    """The change was refused: another attempt holds the key.

    An attempt also gets this answer when it claims again after its call ran or
    after it abandoned its claim, and when it records the outcome of a key that
    is not claimed any more. `outcome` is the stored outcome of the call. When it
    is empty, the call of the other attempt may have run.
    """

    outcome: str = ''


@dataclass(frozen=True, slots=True)
class Mismatched:
    """The key was used before with a different body."""


@dataclass(frozen=True, slots=True)
class Full:
    """The partition has no space, or the outcome is too long.

    Nothing was changed.
    """


Verdict = Acquired | Held | Mismatched | Full


@singledispatch
def apply_change(
    change: Change, partition: Partition
) -> tuple[Partition, Verdict]:
    """Return the changed partition and the result for the attempt."""
    raise NotImplementedError(type(change).__name__)


@apply_change.register
def apply_acquire(
    change: Acquire, partition: Partition
) -> tuple[Partition, Verdict]:
    """Give the key to the attempt if no other attempt holds it."""
    found = partition.find(change.name)
    if found is None or is_abandoned_by_other(found, change.claimant):
        if partition.size() + CLAIM_OVERHEAD_BYTES > MAX_PARTITION_BYTES:
            return partition, Full()
        claim = Claim(change.claimant, change.fingerprint)
        return partition.put(change.name, claim), Acquired()
    if found.fingerprint != change.fingerprint:
        return partition, Mismatched()
    if found.claimant != change.claimant:
        return partition, Held(found.outcome)
    if found.state is ClaimState.CLAIMED:
        return partition, Acquired()
    return partition, Held(found.outcome)


def is_abandoned_by_other(claim: Claim, claimant: str) -> bool:
    """Return whether a claim was abandoned by another attempt."""
    return claim.state is ClaimState.NOT_RUN and claim.claimant != claimant


@apply_change.register
def apply_record(
    change: Record, partition: Partition
) -> tuple[Partition, Verdict]:
    """Store the outcome; one that is too long leaves the claim unchanged."""
    found = partition.find(change.name)
    if found is None or found.claimant != change.claimant:
        return partition, Held()
    size = len(change.outcome.encode())
    if size > MAX_OUTCOME_BYTES:
        return partition, Full()
    if partition.size() + size > MAX_PARTITION_BYTES:
        return partition, Full()
    ran = Claim(
        change.claimant, change.fingerprint, ClaimState.RAN, change.outcome
    )
    return partition.put(change.name, ran), Acquired()


@apply_change.register
def apply_abandon(
    change: Abandon, partition: Partition
) -> tuple[Partition, Verdict]:
    """Free the key for other attempts."""
    found = partition.find(change.name)
    if found is not None and found.claimant != change.claimant:
        return partition, Held(found.outcome)
    abandoned = Claim(change.claimant, change.fingerprint, ClaimState.NOT_RUN)
    return partition.put(change.name, abandoned), Acquired()


@dataclass(slots=True)
class RetentionTimer:
    """Decides when a partition's period may end, by this node's boot clock.

    A period ends only after this node has observed it for `seconds`. Every
    claim is therefore kept for at least that time, without relying on any
    wall clock.
    """

    seconds: float
    period: int = -1
    since: float = 0

    def due(self, period: int, now: float) -> bool:
        """Return whether the period that was just read has lasted long enough."""
        if period != self.period:
            self.period = period
            self.since = now
        return now - self.since >= self.seconds


def claim_name(workspace: str, key: str) -> str:
    """Return the name of the claim on a key, a hexadecimal digest."""
    text = f'{len(workspace)}:{workspace}{key}'
    return blake2b(text.encode(), digest_size=NAME_BYTES).hexdigest()


def partition_number(name: str, partitions: int) -> int:
    """Return the number of the partition that contains the name."""
    return int.from_bytes(bytes.fromhex(name)) % partitions
