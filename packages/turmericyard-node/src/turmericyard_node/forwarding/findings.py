"""What nodes find out by answers, and tell each other through the hubs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import curio

from turmericyard_decisions.strikes import Strike, StrikeBook
from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_node.forwarding.news_log import NewsLog
from turmericyard_protocol.fleet_messages import Findings, LeavingSign


@dataclass(slots=True)
class FindingBook:
    """Endpoints that say that they leave, and strikes against requests.

    `wake_beats` is set when the hubs should hear of something at once, and
    `wake_hub` when this node should tell it on.
    """

    knowledge: Knowledge
    strikes: StrikeBook
    leaving_news: NewsLog[LeavingSign]
    strike_news: NewsLog[Strike]
    wake_beats: curio.Event = field(default_factory=curio.Event)
    wake_hub: curio.Event = field(default_factory=curio.Event)

    def lately(self) -> Findings:
        """Return what this node found lately, for its beats."""
        return as_message(self.leaving_news.lately(), self.strike_news.lately())

    def has_pending(self) -> bool:
        """Return whether there is something to tell on."""
        return bool(self.leaving_news.pending or self.strike_news.pending)

    def take_pending(self) -> Findings:
        """Return what has not been told on yet; it is then."""
        return as_message(
            self.leaving_news.take_pending(), self.strike_news.take_pending()
        )

    def everything(self) -> Findings:
        """Return all that is known, for a node that missed something."""
        return as_message(
            self.knowledge.book.signs_in_use(), self.strikes.all_known()
        )

    async def take(self, told: Findings) -> None:
        """Take over what another node told, and tell on what is new."""
        for sign in told.leaving:
            if self.knowledge.observe_sign(sign):
                self.leaving_news.pass_on(sign)
        for row in told.strikes:
            strike = Strike(*row)
            if self.strikes.merge(strike):
                self.strike_news.pass_on(strike)
        if self.has_pending():
            await self.knowledge.flush()
            await self.wake_hub.set()

    async def report_leaving(self, endpoint: Endpoint) -> None:
        """Act on an endpoint's own word that it leaves, and tell the hubs."""
        sign = endpoint.sign()
        if self.knowledge.observe_sign(sign):
            self.leaving_news.find(sign)
            await self.knowledge.flush()
            await self.wake_tellers()

    async def report_strikes(self, strikes: Iterable[Strike | None]) -> None:
        """Tell the hubs of strikes that were news to this node."""
        for strike in filter(None, strikes):
            self.strike_news.find(strike)
        await self.wake_tellers()

    async def wake_tellers(self) -> None:
        """Have the hubs told at once, and as a hub the other nodes."""
        await self.wake_beats.set()
        await self.wake_hub.set()


def create_findings(knowledge: Knowledge, clock: Clock) -> FindingBook:
    """Return the findings of a node that has found nothing yet."""
    return FindingBook(
        knowledge, StrikeBook(clock), NewsLog(clock), NewsLog(clock)
    )


def as_message(
    leaving: Iterable[LeavingSign], strikes: Iterable[Strike]
) -> Findings:
    """Return findings as messages carry them."""
    return Findings(
        tuple(leaving),
        tuple((strike.mark, strike.era, strike.count) for strike in strikes),
    )
