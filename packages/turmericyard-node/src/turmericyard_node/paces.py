"""The pace of tokens at each endpoint, reported to its owner.

A relaying node sums the tokens of an interval into three numbers for each
endpoint, however many streams it relays. The owner adds up the samples of all
nodes.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmericyard_decisions.pace import (
    PaceMeter,
    PaceSample,
    record_pace_sample,
)
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_protocol.messages import PaceNotice

if TYPE_CHECKING:
    from turmericyard_node.application import Application

SAMPLE_INTERVAL_SECONDS = 0.25


@dataclass(slots=True)
class PaceSampler:
    """Meters of endpoints that this node relays from, samples of owned ones."""

    application: 'Application'
    meters: dict[str, PaceMeter] = field(default_factory=dict)
    samples: dict[str, PaceSample] = field(default_factory=dict)

    def meter(self, endpoint: str) -> PaceMeter:
        """Return the meter of an endpoint that this node relays from."""
        if endpoint not in self.meters:
            self.meters[endpoint] = PaceMeter()
        return self.meters[endpoint]

    async def run(self) -> None:
        """Send samples and apply the received ones until cancelled."""
        while True:
            await self.send_samples()
            self.observe_samples()
            await sleep_to_tick(SAMPLE_INTERVAL_SECONDS)

    async def send_samples(self) -> None:
        """Send this interval's samples to the owners of the endpoints."""
        for endpoint, meter in tuple(self.meters.items()):
            sample = meter.take_sample()
            if not sample.tokens:
                continue
            owner = self.application.permits.owner(endpoint)
            if owner == self.application.identity.node:
                self.add_sample(endpoint, sample)
            elif owner:
                notice = PaceNotice(
                    endpoint, sample.tokens, sample.gaps, sample.gap_seconds
                )
                await self.application.mesh.send(owner, notice)

    def add_sample(self, endpoint: str, sample: PaceSample) -> None:
        """Add a node's sample of an owned endpoint."""
        known = self.samples.get(endpoint, PaceSample())
        self.samples[endpoint] = known.plus(sample)

    def observe_samples(self) -> None:
        """Apply the samples of an interval as evidence of warmth."""
        now = self.application.clock()
        for endpoint, sample in self.samples.items():
            state = self.application.permits.endpoint_states.get(endpoint)
            if state is None:
                continue
            running = max(len(state.ledger.grants), 1)
            record_pace_sample(state.warmth, sample, running, now)
            pace = sample.seconds_per_token()
            if pace:
                state.ledger.observe_pace(pace)
        self.samples.clear()


@handle_message.register(PaceNotice)
async def answer_pace(
    message: PaceNotice, sender: str, application: 'Application'
) -> None:
    """Add the sample in a peer's notice."""
    application.permits.paces.add_sample(
        message.endpoint,
        PaceSample(message.tokens, message.gaps, message.gap_seconds),
    )
