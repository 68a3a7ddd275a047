"""Terms: leases that let one node at a time give orders to a pool's engines.

Each pool has one leased key in the store. The revision of the key's write is
the fencing number, which increases with each holder. A holder stops using its
term before the store can grant another one; it counts that time on the boot
clock from when it sent the renewal.
"""

from dataclasses import dataclass, field

from returns.result import Success

from turmericyard_clients.store import Store, StoreAnswerLost
from turmericyard_decisions.engine_orders import OrderTerm
from turmericyard_http.clock import Clock

TERMS_PREFIX = 'turmericyard/orders/'
LEASE_SECONDS = 8.0
#: Share of the lease during which its holder uses the term. The remaining time
#: covers different rates of the clocks.
USABLE_LEASE_SHARE = 0.9


@dataclass(slots=True)
class HeldTerm:
    """A term, its lease and the time at which this node stops using it."""

    term: OrderTerm
    lease: str
    usable_until: float


@dataclass(slots=True)
class OrderTerms:
    """The terms that this node holds, by pool."""

    node: str
    store: Store
    clock: Clock
    held: dict[str, HeldTerm] = field(default_factory=dict)

    def usable_term(self, pool: str) -> OrderTerm | None:
        """Return the pool's term, None when this node may not use one."""
        held = self.held.get(pool)
        if held is None or self.clock() >= held.usable_until:
            return None
        return held.term

    async def renew_or_acquire(self, pool: str) -> OrderTerm | None:
        """Renew the pool's term, or try to acquire one; return it if usable."""
        held = self.held.get(pool)
        if held is not None and await self.renew(held):
            return self.usable_term(pool)
        self.held.pop(pool, None)
        await self.acquire(pool)
        return self.usable_term(pool)

    async def renew(self, held: HeldTerm) -> bool:
        """Renew the lease; False when it has expired or the store is down."""
        asked_at = self.clock()
        renewed = await self.store.renew_lease(held.lease)
        if not isinstance(renewed, Success):
            return False
        held.usable_until = asked_at + LEASE_SECONDS * USABLE_LEASE_SHARE
        return True

    async def acquire(self, pool: str) -> None:
        """Create the pool's key under a new lease unless the key exists."""
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
                OrderTerm(written.unwrap(), self.clock()),
                lease,
                asked_at + LEASE_SECONDS * USABLE_LEASE_SHARE,
            )
        elif not isinstance(written.failure(), StoreAnswerLost):
            await self.store.revoke_lease(lease)

    async def release_all(self) -> None:
        """Revoke the leases of all held terms."""
        for held in self.held.values():
            await self.store.revoke_lease(held.lease)
        self.held.clear()
