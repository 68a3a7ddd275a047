"""Findings about valid tables: entries without effect and contradictions."""

from collections.abc import Iterator

from turmericyard_operator.checking.findings import Finding, Rule, warning
from turmericyard_tables.models import Configuration, Route, WorkKind


def find_in_tables(configuration: Configuration) -> tuple[Finding, ...]:
    """Return the findings about tables without faults."""
    return (
        *check_pools(configuration),
        *check_workspaces(configuration),
        *check_routes(configuration),
    )


def check_pools(configuration: Configuration) -> Iterator[Finding]:
    """A pool is named by a route and has endpoints."""
    named = {
        pool for route in configuration.routes.values() for pool in route.pools
    }
    filled = {each.pool for each in configuration.endpoints.values()}
    for name in configuration.pools:
        if name not in named:
            yield warning(
                Rule.NEVER_MATCHES,
                f'[pool {name}]',
                'no route names it: add it to the pools of a route, or remove'
                ' it',
            )
        if name not in filled:
            yield warning(
                Rule.NEVER_MATCHES,
                f'[pool {name}]',
                'it has no endpoint: add one, or remove the pool',
            )


def check_workspaces(configuration: Configuration) -> Iterator[Finding]:
    """A workspace has a product, and a route a workspace."""
    used = {
        product
        for workspace in configuration.workspaces.values()
        for product in workspace.products
    }
    for name, workspace in configuration.workspaces.items():
        if not workspace.products:
            yield warning(
                Rule.NEVER_MATCHES,
                f'[workspace {name}]',
                'it has no product and therefore no route: list one, or remove'
                ' it',
            )
    for product in configuration.routes:
        if product not in used:
            yield warning(
                Rule.NEVER_MATCHES,
                f'[route {product}]',
                'no workspace lists the product: list it, or remove the route',
            )


def check_routes(configuration: Configuration) -> Iterator[Finding]:
    """The limits of a route do not contradict each other."""
    for product, route in configuration.routes.items():
        yield from check_objectives(product, route)
        if route.idempotent and route.kind is WorkKind.GENERATION:
            yield warning(
                Rule.IGNORED,
                f'[route {product}] idempotent',
                'it has no effect on generations: remove it',
            )


def check_objectives(product: str, route: Route) -> Iterator[Finding]:
    """The first token is due before the deadline."""
    due = route.objectives.first_token_seconds
    is_generation = route.kind is WorkKind.GENERATION
    if is_generation and due > route.deadline_seconds:
        yield warning(
            Rule.CONTRADICTION,
            f'[route {product}] first_token_seconds',
            f'{due:g} is above deadline_seconds, {route.deadline_seconds:g}:'
            ' lower it, or raise the deadline',
        )
