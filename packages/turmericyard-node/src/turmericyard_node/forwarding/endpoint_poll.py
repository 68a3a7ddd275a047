"""Asks engines themselves whether they leave, while the store is silent.

An engine's notice is shorter than an outage of the store; its runs can be
copied only by a node that hears of the notice. One node asks for all, so that
questions do not grow with the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_ports.border import Border

#: Age of the latest news of the store above which engines are asked, in
#: seconds: records are renewed all the time, so that a watch rarely waits.
SILENT_SECONDS = 0.8
#: Time between two looks at that age, and between two questions, in seconds.
LOOK_SECONDS = 0.1
ASK_SECONDS = 0.5


@dataclass(slots=True)
class EndpointPoll:
    """Asks the engines with runs, at the first hub or without one."""

    border: Border
    fleet: Fleet
    clock: Clock

    async def run(self) -> None:
        """Ask while the store is silent, until cancelled."""
        while True:
            await curio.sleep(LOOK_SECONDS)
            if self.is_due():
                async with curio.TaskGroup() as group:
                    for endpoint in self.endpoints():
                        await group.spawn(self.ask, endpoint)
                await curio.sleep(ASK_SECONDS)

    def is_due(self) -> bool:
        """Return whether the store is silent and this node asks for all."""
        age = self.clock() - self.fleet.contact.store_at
        hubs = self.fleet.hubs.by_preference()
        own = self.fleet.own.node
        return age > SILENT_SECONDS and (not hubs or hubs[0] == own)

    def endpoints(self) -> Iterable[Endpoint]:
        """Return the engines with runs of any node that are to stay."""
        now = self.clock()
        book = self.fleet.knowledge.book
        running = {
            identity
            for totals in (self.fleet.loads.own_totals(), self.fleet.hub.others)
            for identity, total in totals.items()
            if total.running and total.memory_tokens
        }
        return [
            endpoint
            for identity, endpoint in book.endpoints.items()
            if identity in running and endpoint.usable(now)
        ]

    async def ask(self, endpoint: Endpoint) -> None:
        """Ask one engine; one that gives no answer says nothing."""
        if endpoint.rests(self.clock()):
            return
        signs = await self.border.ask_endpoint(endpoint.record.address)
        if isinstance(signs, Success) and signs.unwrap().leaving:
            await self.fleet.hub.findings.report_leaving(endpoint)
