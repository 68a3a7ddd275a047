"""Interface of the platform's key-value store.

The store offers compare-and-swap, leases and watches. Adapters implement
`Store`; only they know the wire format.
"""

from typing import Protocol

from msgspec import Struct
from returns.result import Result

from turmericyard_clients.store_eras import StoreEras

#: Longest value that the store accepts, in bytes.
MAX_VALUE_BYTES = 1_000_000


#: Era and revision: a store that is restored from a copy starts a new era, in
#: which it gives revisions out again.
Position = tuple[int, int]


class Entry(Struct, frozen=True):
    """A stored value with the era and revision of its last change."""

    key: str
    value: bytes
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return what orders this entry among all of its key."""
        return (self.era, self.revision)


class Snapshot(Struct, frozen=True):
    """All entries below a prefix at one store revision."""

    revision: int
    entries: tuple[Entry, ...]
    era: int = 0


class Change(Struct, frozen=True):
    """One change seen by a watch; `value` is None after a delete."""

    key: str
    value: bytes | None
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return what orders this change among all of its key."""
        return (self.era, self.revision)


class WatchBatch(Struct, frozen=True):
    """Changes after the requested revision, oldest first; may be empty."""

    revision: int
    changes: tuple[Change, ...]
    era: int = 0


class StoreConflict(Struct, frozen=True):
    """The compare-and-swap found another revision; nothing was written."""

    current: int

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'value is at revision {self.current}: read it and try again'


class StoreUnavailable(Struct, frozen=True):
    """The store was overloaded, down or unreachable; nothing was written."""

    detail: str
    retry_after_seconds: float = 1

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'store unavailable ({self.detail}): try again later'


class StoreAnswerLost(Struct, frozen=True):
    """The request was sent and got no response: it may have taken effect."""

    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'no response from the store ({self.detail}): '
            'read the key to see whether it took effect'
        )


class StoreRefused(Struct, frozen=True):
    """The store rejected the request itself (too large, lease unknown)."""

    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'store refused the request: {self.detail}'


class StoreEraPassed(Struct, frozen=True):
    """The answer is from before the store was restored from a copy."""

    era: int
    latest: int

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'answer of era {self.era}, but the store is in era {self.latest}:'
            ' read the key again'
        )


class WatchCompacted(Struct, frozen=True):
    """The requested revision is compacted: list the prefix again."""

    oldest: int

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'revisions before {self.oldest} are compacted: list the prefix'


StoreError = (
    StoreConflict
    | StoreUnavailable
    | StoreAnswerLost
    | StoreRefused
    | StoreEraPassed
    | WatchCompacted
)


class Store(Protocol):
    """Operations of the platform's store; each counts as one call."""

    eras: StoreEras

    async def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry, or None when the key does not exist."""

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int | None,
        lease: str | None = None,
    ) -> Result[int, StoreError]:
        """Write if the key is at revision `expected`; return the new revision.

        0 expects that the key does not exist; None writes unconditionally.
        With a lease the key is removed when the lease expires.
        """

    async def delete(
        self, key: str, *, expected: int | None
    ) -> Result[int, StoreError]:
        """Delete the key under the same condition as `write`."""

    async def list_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries whose keys start with the prefix."""

    async def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes after a revision; wait for the first one."""

    async def grant_lease(self, ttl_seconds: float) -> Result[str, StoreError]:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: str) -> Result[None, StoreError]:
        """Extend the lease by its time to live; fails once it has expired."""

    async def revoke_lease(self, lease: str) -> Result[None, StoreError]:
        """End the lease and remove its keys."""
