"""Orders that bring the engines of a pool to the state in the pools table.

One node gives the orders of a pool, and each order carries the node's fencing
number. When an engine does not check this number, a new node first waits until
all orders of its predecessor have expired. Loads are staggered: at most a few
run at the same time, since the weights store limits its rate, and never on all
replicas of a pool.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from turmericyard_tables.models import Pool

ORDER_LIFETIME_SECONDS = 10.0
MAX_LOADS_AT_ONCE = 2
LOAD_SPACING_SECONDS = 5.0


class OrderKind(Enum):
    """What an order changes; the value is its name on the wire."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    SET_VERSION = 'set-version'
    SET_ROLE = 'set-role'


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports; `loading` is set while it loads weights."""

    endpoint: str
    model: str
    version: str
    adapters: frozenset[str]
    role: str
    loading: bool = False


@dataclass(frozen=True, slots=True)
class Order:
    """One order; it must not be sent after `expires_at` (seconds)."""

    endpoint: str
    kind: OrderKind
    argument: str
    fencing: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class OrderTerm:
    """Right of a node to give orders since `started_at`.

    `fencing` is the fencing number that its orders carry.
    """

    fencing: int
    started_at: float

    def may_order(self, checks_fencing: bool, now: float) -> bool:
        """Return whether no order of an earlier term can still take effect."""
        if checks_fencing:
            return True
        return now - self.started_at >= ORDER_LIFETIME_SECONDS


def find_difference(
    pool: Pool,
    state: EngineState,
) -> tuple[tuple[OrderKind, str], ...]:
    """Return the first difference from the pools table.

    The tuple contains the kind of the order and its argument as one item, or is
    empty when there is no difference.
    """
    if state.model != pool.model:
        return ((OrderKind.LOAD_MODEL, pool.model),)
    if state.version != pool.version:
        return ((OrderKind.SET_VERSION, pool.version),)
    for adapter in pool.adapters:
        if adapter not in state.adapters:
            return ((OrderKind.LOAD_ADAPTER, adapter),)
    if state.role != pool.role:
        return ((OrderKind.SET_ROLE, pool.role),)
    return ()


def loads_weights(kind: OrderKind) -> bool:
    """Return whether the order loads weights: the engine then serves nothing."""
    return kind in {OrderKind.LOAD_MODEL, OrderKind.SET_VERSION}


def max_concurrent_loads(states: Sequence[EngineState]) -> int:
    """Return how many loads may run at the same time in a pool.

    In a pool with more than one engine at least one keeps serving.
    """
    return max(1, min(MAX_LOADS_AT_ONCE, len(states) - 1))


def plan_orders(
    pool: Pool,
    states: Sequence[EngineState],
    term: OrderTerm,
    now: float,
    last_load_at: float | None = None,
) -> tuple[Order, ...]:
    """Return the orders to give now.

    `last_load_at` is the time of the last known order for a load in any pool.
    The next load is ordered at least `LOAD_SPACING_SECONDS` after it.
    """
    if not term.may_order(pool.checks_fencing, now):
        return ()
    orders = [
        create_order(state.endpoint, change, term, now)
        for state in sort_unloaded_first(states)
        if not state.loading
        for change in find_difference(pool, state)
    ]
    load = next((order for order in orders if loads_weights(order.kind)), None)
    spacing_kept = (
        last_load_at is None or now - last_load_at >= LOAD_SPACING_SECONDS
    )
    if not spacing_kept or max_concurrent_loads(states) <= sum(
        engine.loading for engine in states
    ):
        load = None
    return tuple(
        order
        for order in orders
        if order is load or not loads_weights(order.kind)
    )


def sort_unloaded_first(states: Iterable[EngineState]) -> list[EngineState]:
    """Return the engines sorted by name, those without a model first."""
    return sorted(states, key=lambda state: (bool(state.model), state.endpoint))


def create_order(
    endpoint: str,
    change: tuple[OrderKind, str],
    term: OrderTerm,
    now: float,
) -> Order:
    """Return the order for one change, with the fencing number of the term."""
    kind, argument = change
    expires_at = now + ORDER_LIFETIME_SECONDS
    return Order(endpoint, kind, argument, term.fencing, expires_at)
