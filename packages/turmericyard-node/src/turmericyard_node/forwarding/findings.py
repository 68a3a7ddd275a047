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
    EndpointLimit,
    Findings,
    LeavingSign,
    StrikeReport,
)

#: Time after a limit was named before which it is not raised, in seconds.
LIMIT_HOLD_SECONDS = 0.5


@dataclass(slots=True)
class FindingRegistry:
    """Endpoints that leave or name limits, and strikes against requests.

    `heartbeat_wanted` is set when the hubs should get a heartbeat at once, and
    `update_wanted` when this node as a hub should send an update at once.
    """

    platform_state: PlatformState
    strikes: StrikeRegistry
    trials: TrialRegistry
    leaving_log: FindingLog[LeavingSign]
    strike_log: FindingLog[Strike]
    limit_log: FindingLog[EndpointLimit]
    heartbeat_wanted: curio.Event = field(default_factory=curio.Event)
    update_wanted: curio.Event = field(default_factory=curio.Event)

    def recent(self) -> Findings:
        """Return this node's recent findings, for its heartbeats."""
        return as_message(
            self.leaving_log.recent(),
            self.strike_log.recent(),
            self.limit_log.recent(),
        )

    def has_pending(self) -> bool:
        """Return whether there are findings to forward."""
        logs = (self.leaving_log, self.strike_log, self.limit_log)
        return any(log.pending for log in logs)

    def take_pending(self) -> Findings:
        """Return the findings to forward and clear them."""
        return as_message(
            self.leaving_log.take_pending(),
            self.strike_log.take_pending(),
            self.limit_log.take_pending(),
        )

    def all_findings(self) -> Findings:
        """Return all known findings, for a node that missed an update."""
        return as_message(
            self.platform_state.registry.signs_in_use(),
            self.strikes.all_strikes(),
            self.platform_state.registry.limits_in_use(),
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
        for limit in received.limits:
            if self.platform_state.observe_limit(limit):
                self.limit_log.add_received(limit)
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

    async def report_limit(
        self,
        endpoint: Endpoint,
        per_second: float | None,
        rejections: int | None = None,
    ) -> None:
        """Record the limit in an endpoint's answer, and inform the hubs of news.

        An answer that was given before the limit may arrive after others. A
        limit is therefore raised or ended only some time after it was named.
        """
        limit = endpoint.next_limit(per_second, rejections)
        known = endpoint.limit or endpoint.next_limit(None)
        now = self.platform_state.clock()
        if limit.rank()[1:] == known.rank()[1:]:
            endpoint.limit_named_at = now
            return
        if (
            not limit.is_stricter(known)
            and now < endpoint.limit_named_at + LIMIT_HOLD_SECONDS
        ):
            return
        endpoint.limit_named_at = now
        if self.platform_state.observe_limit(limit):
            self.limit_log.add_own(limit)
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
        FindingLog(clock),
    )


def as_message(
    leaving: Iterable[LeavingSign],
    strikes: Iterable[Strike],
    limits: Iterable[EndpointLimit],
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
        tuple(limits),
    )
