"""The configuration in force: routes, services, workspaces and limits."""

from enum import Enum

from msgspec import Struct, field


class Kind(Enum):
    """What of a route's requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    #: Events of one generation; at most once, like `ONCE`.
    STREAM = 'stream'


class Target(Struct, frozen=True):
    """A service of a route and its share of the route's requests."""

    service: str
    weight: float = 1


class Route(Struct, frozen=True):
    """Where the requests of a host below a path prefix go.

    Times are in seconds; `priority` 0 is the most urgent. `attempts` bounds
    the endpoints that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_seconds: float
    latency_target_seconds: float
    attempts: int
    priority: int = 0
    open_to_all: bool = False


class EngineTraits(Struct, frozen=True):
    """Figures of a service's engines; zero where they do not tell."""

    slots: int
    memory_tokens: int
    event_tokens: int
    can_move: bool
    can_back_up: bool


class Service(Struct, frozen=True):
    """A service; `engine` is None for plain request-and-answer services.

    A cold endpoint bears `cold_per_second` requests a second.
    """

    name: str
    cold_per_second: float
    engine: EngineTraits | None = None


class ClientLimits(Struct, frozen=True):
    """Bounds of what clients may send and how long they may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15


class Workspace(Struct, frozen=True):
    """A customer; its priority, where it has one, goes before the route's."""

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
    #: Whether requests need a key at all.
    has_workspaces: bool = False


class RouteTable(Struct):
    """Finds routes and the holders of keys in one configuration."""

    configuration: Configuration
    by_host: dict[str, list[Route]] = field(default_factory=dict)
    by_key: dict[str, Workspace] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(configuration: Configuration) -> RouteTable:
    """Return the table of a configuration, the longest prefixes first."""
    table = RouteTable(configuration)
    for route in configuration.routes:
        table.by_host.setdefault(route.host, []).append(route)
    for routes in table.by_host.values():
        routes.sort(key=prefix_length, reverse=True)
    for workspace in configuration.workspaces:
        table.by_key.update(dict.fromkeys(workspace.keys, workspace))
    return table


def prefix_length(route: Route) -> int:
    """Return how specific a route is."""
    return len(route.prefix)
