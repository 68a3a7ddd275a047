"""Immutable data classes of a valid configuration.

`turmericyard_tables.build` creates them from validated rows.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class WorkKind(Enum):
    """Kind of work that the endpoints of a pool run."""

    GENERATION = 'generation'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a product.

    `availability` and the shares are fractions of requests or of token
    intervals, from 0 to 1.
    """

    availability: float = 0.999
    first_token_seconds: float = 1.2
    first_token_share: float = 0.95
    token_interval_seconds: float = 0.042
    token_interval_share: float = 0.95


@dataclass(frozen=True, slots=True)
class Route:
    """Pools and scheduling parameters for the requests of one product.

    `pools` is in order of preference. `tail_weight` ranges from 0 (favour few
    stalls and preemptions) to 1 (favour short intervals between tokens).
    `priority` 0 is the most urgent. `idempotent` is true when a call of a
    service product may be repeated.
    """

    product: str
    kind: WorkKind
    pools: tuple[str, ...]
    deadline_seconds: float
    priority: int = 1
    tail_weight: float = 0.5
    objectives: Objectives = field(default_factory=Objectives)
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant and its products; `weight` is its weight in the fair queue."""

    name: str
    products: tuple[str, ...]
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints of one kind that serve one or more products of one owner.

    `cold_limit` and `limit` are the concurrent requests that one endpoint can
    run during its cold start and when warm. `memory_tokens` is the resident
    token capacity of one engine (0 for services). `strike_limit` is the
    number of endpoint crashes after which a request is refused permanently.
    """

    name: str
    products: tuple[str, ...]
    kind: WorkKind
    cold_limit: int
    limit: int
    memory_tokens: int = 0
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'serve'
    checks_fencing: bool = True
    strike_limit: int = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One engine or service instance; `address` is `host:port`."""

    name: str
    pool: str
    address: str
    zone: str
    vm: str


@dataclass(frozen=True, slots=True)
class Mark:
    """Record that an operator took a zone or VM out of service.

    `since` is the time on the operator's wall clock, in seconds since the
    epoch.
    """

    since: float
    operator: str = ''
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Configuration:
    """Both tables and the service marks at one revision.

    `revision` is the store's revision of the value, 0 when the store has none.
    """

    revision: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    zones_out: Mapping[str, Mark] = field(default_factory=dict)
    vms_out: Mapping[str, Mark] = field(default_factory=dict)

    def in_service(self, endpoint: Endpoint) -> bool:
        """Return whether neither its zone nor its VM is out of service."""
        return (
            endpoint.zone not in self.zones_out
            and endpoint.vm not in self.vms_out
        )
