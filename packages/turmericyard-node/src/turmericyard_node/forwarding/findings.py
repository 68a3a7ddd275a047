"""Findings from endpoints' answers, which nodes share through the hubs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import curio

from turmericyard_decisions.strikes import Strike, StrikeRegistry
from turmericyard_decisions.trials import TrialRegistry
from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.finding_log import FindingLog
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_protocol.fleet_messages import (
    Findings,
    LeavingSign,
    StrikeReport,
)


@dataclass(slots=True)
class FindingRegistry:
    """Endpoints that announce that they leave, and strikes against requests.

    `heartbeat_wanted` is set when the hubs should get a heartbeat at once, and
    `update_wanted` when this node as a hub should send an update at once.
    """

    platform_state: PlatformState
    strikes: StrikeRegistry
    trials: TrialRegistry
    leaving_log: FindingLog[LeavingSign]
    strike_log: FindingLog[Strike]
    heartbeat_wanted: curio.Event = field(default_factory=curio.Event)
    update_wanted: curio.Event = field(default_factory=curio.Event)

    def recent(self) -> Findings:
        """Return this node's recent findings, for its heartbeats."""
        return as_message(self.leaving_log.recent(), self.strike_log.recent())

    def has_pending(self) -> bool:
        """Return whether there are findings to forward."""
        return bool(self.leaving_log.pending or self.strike_log.pending)

    def take_pending(self) -> Findings:
        """Return the findings to forward and clear them."""
        return as_message(
            self.leaving_log.take_pending(), self.strike_log.take_pending()
        )

    def all_findings(self) -> Findings:
        """Return all known findings, for a node that missed an update."""
        return as_message(
            self.platform_state.registry.signs_in_use(),
            self.strikes.all_strikes(),
        )

    async def receive(self, received: Findings) -> None:
        """Apply findings of another node, and forward those that are new."""
        for sign in received.leaving:
            if self.platform_state.observe_sign(sign):
                self.leaving_log.add_received(sign)
        for report in received.strikes:
            strike = Strike(
                report.mark,
                report.era,
                report.count,
                frozenset(report.companions),
            )
            if self.strikes.merge(strike):
                self.strike_log.add_received(strike)
        if self.has_pending():
            await self.platform_state.flush()
            await self.update_wanted.set()

    async def report_leaving(self, endpoint: Endpoint) -> None:
        """Mark an endpoint that announced its leaving, and inform the hubs."""
        sign = endpoint.leaving_sign()
        if self.platform_state.observe_sign(sign):
            self.leaving_log.add_own(sign)
            await self.platform_state.flush()
            await self.request_delivery()

    async def report_strikes(self, strikes: Iterable[Strike | None]) -> None:
        """Inform the hubs of strikes that were new to this node; skip None."""
        for strike in filter(None, strikes):
            self.strike_log.add_own(strike)
        await self.request_delivery()

    async def request_delivery(self) -> None:
        """Request a heartbeat to the hubs and, as a hub, an update at once."""
        await self.heartbeat_wanted.set()
        await self.update_wanted.set()


def create_findings(
    platform_state: PlatformState, clock: Clock
) -> FindingRegistry:
    """Return the registry of a node without findings."""
    strikes = StrikeRegistry(clock)
    return FindingRegistry(
        platform_state,
        strikes,
        TrialRegistry(strikes, clock),
        FindingLog(clock),
        FindingLog(clock),
    )


def as_message(
    leaving: Iterable[LeavingSign], strikes: Iterable[Strike]
) -> Findings:
    """Return findings as a message."""
    return Findings(
        tuple(leaving),
        tuple(
            StrikeReport(
                strike.mark,
                strike.era,
                strike.count,
                tuple(sorted(strike.companions)),
            )
            for strike in strikes
        ),
    )
