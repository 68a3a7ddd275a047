"""The right to give orders to a pool's engines: one leased key a pool.

The revision of the key's write is the fencing number: it grows with each
holder. The right lapses for its holder before the store can give it to
another node, counted on the boot clock from the sending of the renewal.
"""

from dataclasses import dataclass, field

from returns.result import Success

from turmericyard_clients.store import Store, StoreAnswerLost
from turmericyard_decisions.engine_orders import Term
from turmericyard_http.clock import Clock

TERMS_PREFIX = 'turmericyard/orders/'
LEASE_SECONDS = 8.0
#: Part of the lease that its holder uses; the rest covers clock rates.
USABLE_SHARE = 0.9


@dataclass(slots=True)
class HeldTerm:
    """A term and when the right to use it lapses."""

    term: Term
    lease: str
    usable_until: float


@dataclass(slots=True)
class OrderTerms:
    """Terms that this node holds, by pool."""

    node: str
    store: Store
    clock: Clock
    held: dict[str, HeldTerm] = field(default_factory=dict)

    def usable(self, pool: str) -> Term | None:
        """Return the pool's term while the right to it lasts."""
        held = self.held.get(pool)
        if held is None or self.clock() >= held.usable_until:
            return None
        return held.term

    async def keep(self, pool: str) -> Term | None:
        """Renew the pool's term or try to begin one."""
        held = self.held.get(pool)
        if held is not None and await self.renew(held):
            return self.usable(pool)
        self.held.pop(pool, None)
        await self.begin(pool)
        return self.usable(pool)

    async def renew(self, held: HeldTerm) -> bool:
        """Extend the lease; False when it has lapsed or the store is down."""
        asked_at = self.clock()
        renewed = await self.store.renew_lease(held.lease)
        if not isinstance(renewed, Success):
            return False
        held.usable_until = asked_at + LEASE_SECONDS * USABLE_SHARE
        return True

    async def begin(self, pool: str) -> None:
        """Create the pool's key under a new lease, unless it exists."""
        asked_at = self.clock()
        granted = await self.store.grant_lease(LEASE_SECONDS)
        if not isinstance(granted, Success):
            return
        lease = granted.unwrap()
        written = await self.store.write(
            TERMS_PREFIX + pool, self.node.encode(), expected=0, lease=lease
        )
        if isinstance(written, Success):
            self.held[pool] = HeldTerm(
                Term(written.unwrap(), self.clock()),
                lease,
                asked_at + LEASE_SECONDS * USABLE_SHARE,
            )
        elif not isinstance(written.failure(), StoreAnswerLost):
            await self.store.revoke_lease(lease)

    async def give_up(self) -> None:
        """End all held terms."""
        for held in self.held.values():
            await self.store.revoke_lease(held.lease)
        self.held.clear()
