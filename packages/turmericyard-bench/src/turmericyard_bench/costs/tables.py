"""Generates tables of any size, as an example directory."""

from dataclasses import dataclass
from pathlib import Path

POOL = 'report-model'
SERVICE_POOL = 'booking-service'
PRODUCT = 'household-report'
SERVICE_PRODUCT = 'booking'
MODEL = 'report-7b'
#: First of the placeholder ports.
FIRST_PORT = 20_000


@dataclass(frozen=True, slots=True)
class TableSize:
    """Number of rows of each kind and capacity of one engine.

    Engines accept `limit` requests from the start, so that a measurement
    needs no warm-up.
    """

    engines: int
    services: int = 0
    zones: int = 3
    workspaces: int = 1
    limit: int = 200
    memory_tokens: int = 4_000_000


def write_example(directory: Path, size: TableSize) -> Path:
    """Write both tables to a directory and return the directory."""
    directory.mkdir(parents=True, exist_ok=True)
    routes = directory / 'routes.ini'
    pools = directory / 'pools.ini'
    routes.write_text(routes_table(size), encoding='utf-8')
    pools.write_text(pools_table(size), encoding='utf-8')
    return directory


def routes_table(size: TableSize) -> str:
    """Return the routes table."""
    sections = [generation_route()]
    products = PRODUCT
    if size.services:
        sections.append(service_route())
        products = f'{PRODUCT}, {SERVICE_PRODUCT}'
    sections.extend(
        f'[workspace {workspace_name(number)}]\nproducts = {products}\n'
        for number in range(size.workspaces)
    )
    return '\n'.join(sections)


def pools_table(size: TableSize) -> str:
    """Return the pools table; addresses are set by the deployment."""
    sections = [
        f'[pool {POOL}]\nproducts = {PRODUCT}\nkind = generation\n'
        f'cold_limit = {size.limit}\nlimit = {size.limit}\n'
        f'memory_tokens = {size.memory_tokens}\nmodel = {MODEL}\n'
        'version = 1\n'
    ]
    if size.services:
        sections.append(
            f'[pool {SERVICE_POOL}]\nproducts = {SERVICE_PRODUCT}\n'
            'kind = service\ncold_limit = 16\nlimit = 16\n'
        )
    sections.extend(
        endpoint_section(f'report-{number}', POOL, number, size.zones)
        for number in range(size.engines)
    )
    sections.extend(
        endpoint_section(f'booking-{number}', SERVICE_POOL, number, size.zones)
        for number in range(size.engines, size.engines + size.services)
    )
    return '\n'.join(sections)


def generation_route() -> str:
    """Return the route section of generations."""
    return (
        f'[route {PRODUCT}]\nkind = generation\npools = {POOL}\n'
        'deadline_seconds = 600\n'
    )


def service_route() -> str:
    """Return the route section of service calls."""
    return (
        f'[route {SERVICE_PRODUCT}]\nkind = service\npools = {SERVICE_POOL}\n'
        'deadline_seconds = 10\n'
    )


def endpoint_section(name: str, pool: str, number: int, zones: int) -> str:
    """Return an endpoint section with its own VM and a placeholder address."""
    return (
        f'[endpoint {name}]\npool = {pool}\n'
        f'address = 127.0.0.1:{FIRST_PORT + number}\n'
        f'zone = zone-{number % zones}\nvm = vm-{name}\n'
    )


def workspace_name(number: int) -> str:
    """Return the name of the workspace with a number."""
    return f'workspace-{number}'
