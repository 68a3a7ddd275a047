"""Of which endpoints the speed is learned."""

from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_ports.configuration import Service


def learns(platform_state: PlatformState, service: Service | None) -> bool:
    """Return whether speeds of a service's endpoints are learned and used.

    Enabled while the configuration in force has resumable services: for these
    and for all plain services.
    """
    table = platform_state.route_table
    if service is None or table is None or not table.resumable_services:
        return False
    return service.engine is None or service.name in table.resumable_services


def start_of(endpoint: Endpoint) -> tuple[str, int | None]:
    """Return what distinguishes this start of an endpoint from others."""
    return (endpoint.record.address, endpoint.record.born)
