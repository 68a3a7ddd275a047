"""Metrics and log events of hedges."""

from dataclasses import dataclass

from turmericyard_decisions.hedging import Refusal
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.instruments import (
    HEDGES,
    HEDGES_REFUSED,
    Instruments,
)
from turmericyard_node.forwarding.job import Job

SENT = 'sent'
WON = 'won'
LOST = 'lost'
FAILED = 'failed'
CLIENT_GONE = 'client gone'


@dataclass(frozen=True, slots=True)
class HedgeRecorder:
    """Counts and logs hedges."""

    instruments: Instruments

    def record_sent(
        self, job: Job, first: Endpoint, second: Endpoint, waited: float
    ) -> None:
        """Record a hedge that is sent after the first run was late."""
        self.instruments.measure(
            HEDGES, 1, service=job.service.name, outcome=SENT
        )
        log_event(
            Event.REQUEST_HEDGED,
            attempt=job.attempt,
            late=first.identity,
            endpoint=second.identity,
            waited=round(waited, 4),
        )

    def record_end(self, job: Job, outcome: str, seconds: float) -> None:
        """Record how a hedged request ended, `seconds` after its first send."""
        self.instruments.measure(
            HEDGES, 1, service=job.service.name, outcome=outcome
        )
        log_event(
            Event.HEDGE_ENDED,
            attempt=job.attempt,
            outcome=outcome,
            seconds=round(seconds, 4),
        )

    def record_refusal(
        self, job: Job, first: Endpoint, reason: Refusal, waited: float
    ) -> None:
        """Record that a late request is not hedged."""
        self.instruments.measure(
            HEDGES_REFUSED, 1, service=job.service.name, reason=reason.value
        )
        log_event(
            Event.REQUEST_NOT_HEDGED,
            attempt=job.attempt,
            late=first.identity,
            reason=reason.value,
            waited=round(waited, 4),
        )
