"""Polls engines for their leaving notices while the store does not answer.

An engine's notice period may be shorter than an outage of the store, and its
runs can be copied only by a node that learns of the notice. One node polls for
all, so that the number of requests does not grow with the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_ports.border import PlatformAdapter

#: Age of the store's latest answer above which engines are polled, in seconds:
#: records are renewed continuously, so that a watch rarely waits.
SILENT_SECONDS = 0.8
#: Interval of checks of that age, and interval of polls, in seconds.
CHECK_SECONDS = 0.1
POLL_SECONDS = 0.5


@dataclass(slots=True)
class EndpointPoll:
    """Polls engines with runs, at the first hub or a node without hubs."""

    platform_adapter: PlatformAdapter
    fleet: Fleet
    clock: Clock

    async def run(self) -> None:
        """Poll while the store does not answer, until cancelled."""
        while True:
            await curio.sleep(CHECK_SECONDS)
            if self.is_due():
                async with curio.TaskGroup() as group:
                    for endpoint in self.endpoints():
                        await group.spawn(self.poll, endpoint)
                await curio.sleep(POLL_SECONDS)

    def is_due(self) -> bool:
        """Return whether the store is silent and this node polls for all."""
        age = self.clock() - self.fleet.contact.last_store_contact_at
        hubs = self.fleet.hub_choice.in_preference_order()
        own = self.fleet.own.node
        return age > SILENT_SECONDS and (not hubs or hubs[0] == own)

    def endpoints(self) -> Iterable[Endpoint]:
        """Return the usable engines with runs of any node."""
        registry = self.fleet.platform_state.registry
        running = {
            identity
            for totals in (
                self.fleet.loads.own_totals(),
                self.fleet.hub.peer_totals,
            )
            for identity, total in totals.items()
            if total.running and total.memory_tokens
        }
        return [
            endpoint
            for identity, endpoint in registry.endpoints.items()
            if identity in running and endpoint.usable()
        ]

    async def poll(self, endpoint: Endpoint) -> None:
        """Poll one engine; one that does not answer does not count as leaving."""
        if endpoint.is_backing_off(self.clock()):
            return
        report = await self.platform_adapter.fetch_endpoint_report(
            self.fleet.paths.connect, endpoint.record.address
        )
        if isinstance(report, Success) and report.unwrap().leaving:
            await self.fleet.hub.findings.report_leaving(endpoint)
