"""Brings engines to the state of the pools table: models, versions, roles.

One node gives the orders of a pool, the one that holds its term.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash
from returns.result import Success

from turmericyard_clients.engine_errors import OrderOutdated
from turmericyard_decisions.engine_orders import (
    EngineState,
    Order,
    is_load,
    plan_orders,
)
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.events import Event, log_event
from turmericyard_node.order_terms import OrderTerms
from turmericyard_tables.models import (
    Configuration,
    Endpoint,
    Pool,
    WorkKind,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

INTERVAL_SECONDS = 2.0
#: An ordered engine counts as loading for at most this long.
LOADING_SECONDS = 60.0


@dataclass(slots=True)
class OrderService:
    """Gives the orders of the pools whose terms this node holds."""

    application: 'Application'
    terms: OrderTerms
    ordered_at: dict[str, float] = field(default_factory=dict)
    last_load_at: float | None = None
    preferred: tuple[Pool, ...] = ()
    preferred_in: Configuration | None = None
    preferred_among: tuple[str, ...] = ()

    async def run(self) -> None:
        """Compare engines with the table, again and again."""
        while True:
            for pool in self.preferred_pools():
                await self.serve_pool(pool)
            await sleep_to_tick(INTERVAL_SECONDS)

    def preferred_pools(self) -> tuple[Pool, ...]:
        """Return the engine pools for which this node comes first.

        They are looked for only when the pools or the live nodes changed.
        """
        application = self.application
        configuration = application.configuration.current
        live = application.membership.live(application.clock())
        names = tuple(member.node for member in live)
        own = application.identity.node
        same_pools = configuration is self.preferred_in
        if not same_pools or names != self.preferred_among:
            self.preferred = tuple(
                pool
                for pool in configuration.pools.values()
                if pool.kind is WorkKind.GENERATION
                and first_node(pool.name, names) == own
            )
            self.preferred_in = configuration
            self.preferred_among = names
        return self.preferred

    async def serve_pool(self, pool: Pool) -> None:
        """Plan and give the orders of one pool."""
        term = await self.terms.keep(pool.name)
        if term is None:
            return
        endpoints = self.application.candidates.by_pool.get(pool.name, [])
        states = [
            await self.engine_state(endpoint, pool) for endpoint in endpoints
        ]
        now = self.application.clock()
        for order in plan_orders(pool, states, term, now, self.last_load_at):
            await self.give(pool, order)

    async def engine_state(self, endpoint: Endpoint, pool: Pool) -> EngineState:
        """Return what the engine reports; a silent one counts as loading."""
        client = self.application.clients.engine(endpoint.address)
        reported = await client.load()
        if not isinstance(reported, Success):
            return EngineState(endpoint.name, '', '', frozenset(), '', True)
        load = reported.unwrap()
        if (load.model, load.version) == (pool.model, pool.version):
            self.ordered_at.pop(endpoint.name, None)
        return EngineState(
            endpoint.name,
            load.model,
            load.version,
            frozenset(load.adapters),
            load.role,
            self.is_loading(endpoint.name),
        )

    def is_loading(self, endpoint: str) -> bool:
        """Return whether the engine took a load lately."""
        since = self.ordered_at.get(endpoint)
        if since is None:
            return False
        return self.application.clock() - since < LOADING_SECONDS

    async def give(self, pool: Pool, order: Order) -> None:
        """Give one order while the term and the order are valid."""
        application = self.application
        endpoint = application.configuration.current.endpoints.get(
            order.endpoint
        )
        if endpoint is None:
            return
        now = application.clock()
        if now >= order.expires_at or self.terms.usable(pool.name) is None:
            return
        client = application.clients.engine(endpoint.address)
        given = await client.order(
            order.kind.value, order.argument, order.fencing
        )
        if isinstance(given, Success):
            self.observe_given(order, now)
        elif isinstance(given.failure(), OrderOutdated):
            self.terms.held.pop(pool.name, None)

    def observe_given(self, order: Order, now: float) -> None:
        """Note an order that the engine took."""
        log_event(
            Event.ORDER_GIVEN,
            endpoint=order.endpoint,
            order=order.kind.value,
            argument=order.argument,
            fencing=order.fencing,
        )
        if is_load(order.kind):
            self.ordered_at[order.endpoint] = now
            self.last_load_at = now


def create_order_service(application: 'Application') -> OrderService:
    """Return the order service of a node."""
    terms = OrderTerms(
        application.identity.node,
        application.configuration.store,
        application.clock,
    )
    return OrderService(application, terms)


def first_node(pool: str, nodes: Sequence[str]) -> str | None:
    """Return the node that gives the pool's orders if all agree on `nodes`."""
    return max(
        nodes,
        key=lambda node: xxhash.xxh64_intdigest(f'{pool}\0{node}'.encode()),
        default=None,
    )
