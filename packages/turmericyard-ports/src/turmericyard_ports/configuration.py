"""The configuration in force: routes, services, workspaces and limits."""

from enum import Enum
from itertools import chain

from msgspec import Struct, field


class RepeatPolicy(Enum):
    """Whether requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    #: A stream of one generation's events; runs at most once, like `ONCE`.
    STREAM = 'stream'


class Target(Struct, frozen=True):
    """A service of a route and its relative weight among the services."""

    service: str
    weight: float = 1


class Route(Struct, frozen=True):
    """Targets and limits of the requests to a host below a path prefix.

    Times are in seconds. `priority` 0 is the most urgent. `attempts` limits the
    number of endpoints that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: RepeatPolicy
    targets: tuple[Target, ...]
    timeout_seconds: float
    latency_target_seconds: float
    attempts: int
    priority: int = 0
    allows_anonymous: bool = False
    #: Whether a stream may go on at another endpoint after its last event.
    resumable: bool = False
    #: Longest pause between two events for which a stream is on time.
    gap_target_seconds: float = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RepeatPolicy.IDEMPOTENT or self.resumable


class EngineTraits(Struct, frozen=True):
    """Properties of a service's engines; zero where they are not known."""

    slots: int
    memory_tokens: int
    tokens_per_event: int
    can_copy_runs: bool
    can_keep_backups: bool


class Service(Struct, frozen=True):
    """A service; `engine` is None for plain services.

    `cold_per_second` is the number of requests per second that an endpoint can
    serve while it is cold.
    """

    name: str
    cold_per_second: float
    engine: EngineTraits | None = None


class ClientLimits(Struct, frozen=True):
    """Limits on what clients may send and on how long they may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15
    #: Time for a whole head, 0 where the configuration names none.
    head_seconds: float = 0


class Workspace(Struct, frozen=True):
    """A customer; its priority, if set, overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(Struct, frozen=True):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: tuple[Workspace, ...] = ()
    limits: ClientLimits = ClientLimits()
    #: Whether requests need a key.
    requires_keys: bool = False


class RouteTable(Struct):
    """Index of one configuration's routes by host and workspaces by key."""

    configuration: Configuration
    by_host: dict[str, list[Route]] = field(default_factory=dict)
    by_key: dict[str, Workspace] = field(default_factory=dict)
    #: Services of the routes whose streams may be resumed.
    resumable_services: frozenset[str] = frozenset()

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(configuration: Configuration) -> RouteTable:
    """Return the index of a configuration, longest prefixes first."""
    table = RouteTable(configuration)
    for route in configuration.routes:
        table.by_host.setdefault(route.host, []).append(route)
    for routes in table.by_host.values():
        routes.sort(key=prefix_length, reverse=True)
    for workspace in configuration.workspaces:
        table.by_key.update(dict.fromkeys(workspace.keys, workspace))
    table.resumable_services = frozenset(
        chain.from_iterable(map(resumable_targets, configuration.routes))
    )
    return table


def resumable_targets(route: Route) -> tuple[str, ...]:
    """Return the services of a route if its streams may be resumed."""
    if not route.resumable:
        return ()
    return tuple(target.service for target in route.targets)


def prefix_length(route: Route) -> int:
    """Return the length of a route's prefix, the sort key of routes."""
    return len(route.prefix)
