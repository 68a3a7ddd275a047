"""Claims: at most one run of each non-idempotent call.

A claim on a key is durable before the first byte of the call is sent. A
request that finds another one's claim on its key is never sent. Keys are
hashed to partitions; each partition is one value in the store.
"""

from dataclasses import dataclass, field
from uuid import uuid4

import curio
from returns.result import Failure, Result, Success

from turmericyard_clients.store import Store, StoreError
from turmericyard_decisions.claim import (
    Abandon,
    Acquire,
    Acquired,
    Held,
    Mismatched,
    Record,
    RetentionTimer,
    claim_name,
    partition_number,
)
from turmericyard_http.clock import Clock
from turmericyard_node.claim_partition import PartitionCommitter

CLAIMS_PREFIX = 'turmericyard/claims/'

#: Number of partitions; it never changes while claims are kept.
PARTITIONS = 16

#: Shortest time for which a claim is kept, in seconds.
RETENTION_SECONDS = 3600


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Only this request may be sent, until the claim is too old.

    `asked_at` is when the claim was requested, in seconds of the boot clock.
    """

    name: str
    claimant: str
    fingerprint: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another request claimed the key; `outcome` is empty when unknown."""

    outcome: str


@dataclass(frozen=True, slots=True)
class ClaimMismatch:
    """The key was used with another body."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim was not made; the call has not run and won't be run."""

    detail: str
    retry_seconds: float


ClaimAnswer = ClaimGranted | ClaimHeld | ClaimMismatch | ClaimUnavailable


@dataclass(slots=True)
class ClaimService:
    """Makes and records the claims of this node's requests.

    A claim allows its request to be sent for `validity_seconds`.
    """

    store: Store
    clock: Clock
    validity_seconds: float
    committers: dict[int, PartitionCommitter] = field(default_factory=dict)

    def committer(self, name: str) -> PartitionCommitter:
        """Return the committer of the partition that a claim's name is in."""
        number = partition_number(name, PARTITIONS)
        if number not in self.committers:
            self.committers[number] = PartitionCommitter(
                f'{CLAIMS_PREFIX}{number}',
                self.store,
                self.clock,
                RetentionTimer(RETENTION_SECONDS),
            )
        return self.committers[number]

    async def acquire(
        self, workspace: str, key: str, fingerprint: str
    ) -> ClaimAnswer:
        """Claim a workspace's key for one run of a call with this body."""
        name = claim_name(workspace, key)
        claim = ClaimGranted(name, uuid4().hex, fingerprint, self.clock())
        change = Acquire(name, claim.claimant, fingerprint)
        try:
            committed = await self.committer(name).commit(change)
        except curio.CancelledError:
            await curio.spawn(self.release, claim, daemon=True)
            raise
        if not isinstance(committed, Success):
            await curio.spawn(self.release, claim, daemon=True)
            return ClaimUnavailable(committed.failure().message, 1)
        verdict = committed.unwrap()
        if isinstance(verdict, Acquired):
            return claim
        if isinstance(verdict, Mismatched):
            return ClaimMismatch()
        if isinstance(verdict, Held):
            return ClaimHeld(verdict.outcome)
        return ClaimUnavailable('no room for more claims: retry later', 1)

    def may_send(self, claim: ClaimGranted) -> bool:
        """Return whether the claim still allows its request to be sent."""
        return self.clock() - claim.asked_at < self.validity_seconds

    async def record(self, claim: ClaimGranted, outcome: str) -> None:
        """Record the outcome of the call."""
        change = Record(claim.name, claim.claimant, claim.fingerprint, outcome)
        await self.committer(claim.name).commit(change)

    async def release(self, claim: ClaimGranted) -> None:
        """Release the claim of a request that was certainly not sent."""
        change = Abandon(claim.name, claim.claimant, claim.fingerprint)
        await self.committer(claim.name).commit(change)

    async def outcome(
        self, workspace: str, key: str
    ) -> Result[str | None, StoreError]:
        """Return a key's recorded outcome; None when the key is unknown."""
        name = claim_name(workspace, key)
        committer = self.committer(name)
        async with committer.lock:
            found = await committer.read()
        if not isinstance(found, Success):
            return Failure(found.failure())
        claim = found.unwrap().find(name)
        return Success(None if claim is None else claim.outcome)
