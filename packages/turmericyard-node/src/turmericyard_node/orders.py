"""Reconciles engines with the pools table: models, versions, roles.

Only the node that holds a pool's term gives orders to its engines.
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
    loads_weights,
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
#: Maximum time for which an engine counts as loading after an order to load.
LOADING_SECONDS = 60.0


@dataclass(slots=True)
class OrderService:
    """Gives orders to the engines of pools whose terms this node holds."""

    application: 'Application'
    terms: OrderTerms
    ordered_at: dict[str, float] = field(default_factory=dict)
    last_load_at: float | None = None
    preferred: tuple[Pool, ...] = ()
    preferred_configuration: Configuration | None = None
    preferred_nodes: tuple[str, ...] = ()

    async def run(self) -> None:
        """Reconcile the engines of preferred pools until cancelled."""
        while True:
            for pool in self.assigned_pools():
                await self.reconcile_pool(pool)
            await sleep_to_tick(INTERVAL_SECONDS)

    def assigned_pools(self) -> tuple[Pool, ...]:
        """Return the engine pools whose preferred node is this one.

        The result is cached until the configuration or the live nodes change.
        """
        application = self.application
        configuration = application.configuration.current
        live = application.membership.live(application.clock())
        names = tuple(member.node for member in live)
        own = application.identity.node
        same_pools = configuration is self.preferred_configuration
        if not same_pools or names != self.preferred_nodes:
            self.preferred = tuple(
                pool
                for pool in configuration.pools.values()
                if pool.kind is WorkKind.GENERATION
                and preferred_node(pool.name, names) == own
            )
            self.preferred_configuration = configuration
            self.preferred_nodes = names
        return self.preferred

    async def reconcile_pool(self, pool: Pool) -> None:
        """Plan and send the orders for one pool if this node has its term."""
        term = await self.terms.renew_or_acquire(pool.name)
        if term is None:
            return
        endpoints = self.application.candidates.endpoints_by_pool.get(
            pool.name, []
        )
        states = [
            await self.engine_state(endpoint, pool) for endpoint in endpoints
        ]
        now = self.application.clock()
        for order in plan_orders(pool, states, term, now, self.last_load_at):
            await self.send_order(pool, order)

    async def engine_state(self, endpoint: Endpoint, pool: Pool) -> EngineState:
        """Return the engine's state; one that fails to answer is loading."""
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
        """Return whether the engine recently accepted an order to load."""
        last_order_at = self.ordered_at.get(endpoint)
        if last_order_at is None:
            return False
        return self.application.clock() - last_order_at < LOADING_SECONDS

    async def send_order(self, pool: Pool, order: Order) -> None:
        """Send one order if the term and the order are still valid."""
        application = self.application
        endpoint = application.configuration.current.endpoints.get(
            order.endpoint
        )
        if endpoint is None:
            return
        now = application.clock()
        if now >= order.expires_at or self.terms.usable_term(pool.name) is None:
            return
        client = application.clients.engine(endpoint.address)
        answer = await client.order(
            order.kind.value, order.argument, order.fencing
        )
        if isinstance(answer, Success):
            self.record_accepted_order(order, now)
        elif isinstance(answer.failure(), OrderOutdated):
            self.terms.held.pop(pool.name, None)

    def record_accepted_order(self, order: Order, now: float) -> None:
        """Log an order that the engine accepted and record a load."""
        log_event(
            Event.ORDER_GIVEN,
            endpoint=order.endpoint,
            order=order.kind.value,
            argument=order.argument,
            fencing=order.fencing,
        )
        if loads_weights(order.kind):
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


def preferred_node(pool: str, nodes: Sequence[str]) -> str | None:
    """Return the node with the highest rendezvous hash for the pool.

    Nodes that know the same `nodes` agree on it. It is None when there are none.
    """
    return max(
        nodes,
        key=lambda node: xxhash.xxh64_intdigest(f'{pool}\0{node}'.encode()),
        default=None,
    )
