"""Clients of engines and services by address."""

from dataclasses import dataclass, field

from turmericyard_clients.engine import EngineClient, create_engine_client
from turmericyard_http.client import HttpClient, create_client


@dataclass(slots=True)
class EndpointClients:
    """Clients by address; each is created at first use and kept."""

    engines: dict[str, EngineClient] = field(default_factory=dict)
    services: dict[str, HttpClient] = field(default_factory=dict)

    def engine(self, address: str) -> EngineClient:
        """Return the client of an engine."""
        if address not in self.engines:
            self.engines[address] = create_engine_client(address)
        return self.engines[address]

    def service(self, address: str) -> HttpClient:
        """Return the client of a service."""
        if address not in self.services:
            self.services[address] = create_client(address)
        return self.services[address]
