"""Checks of the whole configuration: references between rows, and limits.

Each check yields an error for every violation of the rule in its docstring.
"""

import re
from collections.abc import Callable, Iterable, Iterator

from turmericyard_tables.errors import TableFault
from turmericyard_tables.ini import NAME_PATTERN, RowKey
from turmericyard_tables.models import Configuration, Pool, Route, WorkKind

Check = Callable[[Configuration], Iterator[TableFault]]


def find_faults(configuration: Configuration) -> tuple[TableFault, ...]:
    """Return the errors of all checks, in the order of `CHECKS`."""
    return tuple(fault for check in CHECKS for fault in check(configuration))


def row_fault(
    kind: str, name: str, key: str, found: str, allowed: str
) -> TableFault:
    """Return an error in the row `[kind name]`."""
    row = RowKey(kind, name)
    return TableFault(row.table.value, row.section, key, found, allowed)


def join_names(names: object) -> str:
    """Return the sorted names as a comma-separated text, `none` for none."""
    return ', '.join(sorted(map(str, names))) or 'none'  # type: ignore[call-overload]


def check_names(configuration: Configuration) -> Iterator[TableFault]:
    """Names of rows are short and safe in messages and paths."""
    tables = {
        'route': configuration.routes,
        'workspace': configuration.workspaces,
        'pool': configuration.pools,
        'endpoint': configuration.endpoints,
    }
    allowed = (
        'up to 63 letters, digits and ._-, the first a letter or digit '
        f'({NAME_PATTERN})'
    )
    for kind, rows in tables.items():
        for name in rows:
            if not re.match(NAME_PATTERN, name):
                yield row_fault(kind, name, '', f'the name {name!r}', allowed)


def check_routes(configuration: Configuration) -> Iterator[TableFault]:
    """A route names existing pools of its kind that list its product."""
    for route in configuration.routes.values():
        for name in route.pools:
            pool = configuration.pools.get(name)
            if pool is None:
                yield row_fault(
                    'route',
                    route.product,
                    'pools',
                    f'pool {name}, which is not in the pools table',
                    join_names(configuration.pools),
                )
            else:
                yield from check_route_pool(route, pool)


def check_route_pool(route: Route, pool: Pool) -> Iterator[TableFault]:
    """A route's pool lists the route's product and is of the same kind."""
    if route.product not in pool.products:
        yield row_fault(
            'route',
            route.product,
            'pools',
            f'pool {pool.name}, whose products are {join_names(pool.products)}',
            f'pools whose products include {route.product}',
        )
    if route.kind is not pool.kind:
        yield row_fault(
            'route',
            route.product,
            'pools',
            f'pool {pool.name} of kind {pool.kind.value}',
            f'pools of kind {route.kind.value}',
        )


def check_products(
    configuration: Configuration,
    kind: str,
    name: str,
    products: Iterable[str],
) -> Iterator[TableFault]:
    """Every product of the row `[kind name]` has a route."""
    for product in products:
        if product not in configuration.routes:
            yield row_fault(
                kind,
                name,
                'products',
                f'product {product}, which has no route',
                join_names(configuration.routes),
            )


def check_workspaces(configuration: Configuration) -> Iterator[TableFault]:
    """Every product of a workspace has a route."""
    for workspace in configuration.workspaces.values():
        yield from check_products(
            configuration, 'workspace', workspace.name, workspace.products
        )


def check_pools(configuration: Configuration) -> Iterator[TableFault]:
    """Every product of a pool has a route, and its limits are consistent."""
    for pool in configuration.pools.values():
        yield from check_products(
            configuration, 'pool', pool.name, pool.products
        )
        yield from check_pool_limits(pool)


def check_pool_limits(pool: Pool) -> Iterator[TableFault]:
    """`cold_limit` is at most `limit`; only engines have memory and a model."""
    if pool.cold_limit > pool.limit:
        yield row_fault(
            'pool',
            pool.name,
            'cold_limit',
            str(pool.cold_limit),
            f'at most the limit of the pool, {pool.limit}',
        )
    generates = pool.kind is WorkKind.GENERATION
    if generates != (pool.memory_tokens > 0):
        yield row_fault(
            'pool',
            pool.name,
            'memory_tokens',
            str(pool.memory_tokens),
            'at least 1 for pools of kind generation, 0 for kind service; this '
            f'pool is of kind {pool.kind.value}',
        )
    if generates != bool(pool.model):
        yield row_fault(
            'pool',
            pool.name,
            'model',
            repr(pool.model),
            'a model for pools of kind generation, none for kind service; this '
            f'pool is of kind {pool.kind.value}',
        )


def check_endpoints(configuration: Configuration) -> Iterator[TableFault]:
    """An endpoint is in an existing pool and has an address of its own."""
    owners: dict[str, str] = {}
    for endpoint in configuration.endpoints.values():
        if endpoint.pool not in configuration.pools:
            yield row_fault(
                'endpoint',
                endpoint.name,
                'pool',
                f'pool {endpoint.pool}, which is not in the pools table',
                join_names(configuration.pools),
            )
        owner = owners.setdefault(endpoint.address, endpoint.name)
        if owner != endpoint.name:
            yield row_fault(
                'endpoint',
                endpoint.name,
                'address',
                f'{endpoint.address}, also the address of endpoint {owner}',
                'an address that no other endpoint has',
            )


def check_zones(configuration: Configuration) -> Iterator[TableFault]:
    """All endpoints on a VM are in the same zone."""
    zones: dict[str, str] = {}
    for endpoint in configuration.endpoints.values():
        zone = zones.setdefault(endpoint.vm, endpoint.zone)
        if zone != endpoint.zone:
            yield row_fault(
                'endpoint',
                endpoint.name,
                'zone',
                f'{endpoint.zone} for an endpoint on VM {endpoint.vm}',
                f'{zone}, as in the other endpoint rows of this VM',
            )


CHECKS: tuple[Check, ...] = (
    check_names,
    check_routes,
    check_workspaces,
    check_pools,
    check_endpoints,
    check_zones,
)
