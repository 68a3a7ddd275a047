"""Tables of the example deployments, with addresses of started processes."""

from collections.abc import Mapping
from configparser import ConfigParser
from dataclasses import dataclass, field
from io import StringIO
from pathlib import Path

GENERATION = 'generation'
ENDPOINT_PREFIX = 'endpoint '
POOL_PREFIX = 'pool '


@dataclass(frozen=True, slots=True)
class ExampleEndpoint:
    """One endpoint of the pools table and the row of its pool."""

    name: str
    zone: str
    vm: str
    pool: Mapping[str, str]

    @property
    def is_engine(self) -> bool:
        """Return whether it is an engine, not a plain service."""
        return self.pool['kind'] == GENERATION


@dataclass(frozen=True, slots=True)
class Example:
    """The text of both tables and the endpoints in them."""

    routes: str
    pools: str
    endpoints: tuple[ExampleEndpoint, ...]
    workspaces: tuple[str, ...] = field(default=())

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the zones of the endpoints, sorted by name."""
        return tuple(sorted({endpoint.zone for endpoint in self.endpoints}))

    def endpoints_in(self, zone: str) -> tuple[ExampleEndpoint, ...]:
        """Return the endpoints of one zone."""
        return tuple(
            endpoint for endpoint in self.endpoints if endpoint.zone == zone
        )

    def pools_at(self, addresses: Mapping[str, str]) -> str:
        """Return the pools table with addresses given by endpoint name."""
        parser = read_table(self.pools)
        for name, address in addresses.items():
            parser[ENDPOINT_PREFIX + name]['address'] = address
        text = StringIO()
        parser.write(text)
        return text.getvalue()


def read_example(directory: Path) -> Example:
    """Return the example of a directory.

    Raises OSError for a missing file, KeyError for a missing pool or key.
    """
    pools = (directory / 'pools.ini').read_text(encoding='utf-8')
    routes = (directory / 'routes.ini').read_text(encoding='utf-8')
    parser = read_table(pools)
    endpoints = tuple(
        ExampleEndpoint(
            section.removeprefix(ENDPOINT_PREFIX),
            parser[section]['zone'],
            parser[section]['vm'],
            dict(parser[POOL_PREFIX + parser[section]['pool']]),
        )
        for section in parser.sections()
        if section.startswith(ENDPOINT_PREFIX)
    )
    workspaces = tuple(
        section.partition(' ')[2]
        for section in read_table(routes).sections()
        if section.startswith('workspace ')
    )
    return Example(routes, pools, endpoints, workspaces)


def read_table(text: str) -> ConfigParser:
    """Return the parsed table."""
    parser = ConfigParser(interpolation=None, delimiters=('=',))
    parser.read_string(text)
    return parser
