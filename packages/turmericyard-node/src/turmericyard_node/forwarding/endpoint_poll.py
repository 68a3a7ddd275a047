"""Asks engines themselves whether they leave, while the store is silent.

An engine's notice is shorter than an outage of the store; its runs can be
copied only by a node that hears of the notice.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.contact import Contact
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.findings import FindingBook
from turmericyard_node.forwarding.load_book import LoadBook
from turmericyard_ports.border import Border

#: Age of the latest news of the store above which engines are asked, in
#: seconds: records are renewed all the time, so that a watch rarely waits.
SILENT_SECONDS = 0.8
#: Time between two looks at that age, and between two questions, in seconds.
LOOK_SECONDS = 0.1
ASK_SECONDS = 0.4


@dataclass(slots=True)
class EndpointPoll:
    """Asks the engines at which this node has runs."""

    border: Border
    contact: Contact
    findings: FindingBook
    loads: LoadBook
    clock: Clock

    async def run(self) -> None:
        """Ask while the store is silent, until cancelled."""
        while True:
            await curio.sleep(LOOK_SECONDS)
            if self.clock() - self.contact.store_at > SILENT_SECONDS:
                async with curio.TaskGroup() as group:
                    for endpoint in self.endpoints():
                        await group.spawn(self.ask, endpoint)
                await curio.sleep(ASK_SECONDS)

    def endpoints(self) -> Iterable[Endpoint]:
        """Return the engines with runs of this node that are to stay."""
        now = self.clock()
        book = self.findings.knowledge.book
        running = {
            use.identity
            for use in self.loads.own
            if use.memory_tokens and not use.lent
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
            await self.findings.report_leaving(endpoint)
