"""How an idempotent call runs that may be hedged."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from turmericyard_http.answer_writer import Answer
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.sending import (
    MayHaveRun,
    NotRun,
    describe_outcome,
    outcome_label,
)

if TYPE_CHECKING:
    from turmericyard_node.forwarding.calls import CallForwarder

SERVER_ERROR = 500
#: Time after the limit of an attempt at which it is cancelled, in seconds: an
#: attempt that does not connect in time says by itself that it has not run.
CANCEL_MARGIN_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class CallContest:
    """The runs of one call; both have the time until its deadline."""

    calls: 'CallForwarder'
    job: Job
    earlier_runs: int
    attempt_seconds: float

    @property
    def limit(self) -> float:
        """Return the time after which a run without a hedge is given up."""
        return self.attempt_seconds + CANCEL_MARGIN_SECONDS

    async def attempt(self, endpoint: Endpoint) -> Answer | NotRun | MayHaveRun:
        """Send the request to an endpoint."""
        return await self.calls.call_endpoint(
            self.job,
            endpoint,
            self.job.seconds_left(self.calls.clock()),
            self.attempt_seconds,
        )

    def is_good(self, outcome: Answer | NotRun | MayHaveRun) -> bool:
        """Return whether an outcome is an answer that is no failure."""
        if isinstance(outcome, NotRun | MayHaveRun):
            return False
        return outcome.status < SERVER_ERROR

    async def discard(self, outcome: Answer | NotRun | MayHaveRun) -> None:
        """Do nothing: a complete answer holds no resources."""

    def give_up(self, endpoint: Endpoint) -> MayHaveRun:
        """Return the outcome of a run that was cancelled after its limit."""
        outcome = MayHaveRun('timeout')
        sender = self.calls.sender
        sender.observe_failure(endpoint)
        sender.instruments.record_send(
            self.job.service.name, outcome_label(outcome)
        )
        log_event(
            Event.REQUEST_SENT,
            attempt=self.job.attempt,
            endpoint=endpoint.identity,
            send=self.job.send_count,
            seconds=round(self.attempt_seconds, 4),
            outcome=describe_outcome(outcome),
        )
        return outcome
