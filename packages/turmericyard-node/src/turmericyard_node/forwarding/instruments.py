"""What a forwarding node counts and times.

The metrics library takes longer to load than the rest of the node, so that it
is loaded by the first scrape. Until then measurements are kept as they are.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from importlib import import_module
from typing import Any, Protocol

import curio

ANSWERS = 'turmericyard.forwarding.answers'
ANSWER_SECONDS = 'turmericyard.forwarding.answer'
WAIT_SECONDS = 'turmericyard.forwarding.wait'
SENDS = 'turmericyard.forwarding.sends'
STREAMS = 'turmericyard.forwarding.streams'
FIRST_SECONDS = 'turmericyard.forwarding.first_event'
GAP_SECONDS = 'turmericyard.forwarding.longest_gap'
COPIES = 'turmericyard.forwarding.copies'
DROPPED = 'turmericyard.forwarding.dropped_measurements'
#: Measurements kept for the first scrape: some minutes of a busy node, a few
#: megabytes.
KEPT_MEASUREMENTS = 20_000
#: Modules loaded one by one before the exporter, so that no single load stops
#: the loop for long.
LOADED_FIRST = (
    'opentelemetry.util.types',
    'opentelemetry.metrics',
    'opentelemetry.sdk.resources',
    'opentelemetry.sdk.metrics._internal.point',
    'opentelemetry.sdk.metrics._internal.aggregation',
    'opentelemetry.sdk.metrics',
    'opentelemetry.sdk.metrics.view',
    'prometheus_client',
    'opentelemetry.exporter.prometheus',
)
#: Time for other tasks between two loads, in seconds.
LOAD_PAUSE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Measurement:
    """An amount to be added to a counter or recorded in a histogram."""

    instrument: str
    amount: float
    attributes: dict[str, Any]


class Exporter(Protocol):
    """Takes measurements and renders all metrics.

    `gauges` registers numbers that are read at each scrape.
    """

    gauges: Any

    def take(self, measurement: Measurement) -> None:
        """Add a measurement to its instrument."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


ExporterSource = Callable[[], Exporter]


@dataclass(slots=True)
class Instruments:
    """What a node counts and times.

    `kept` are measurements made before the first scrape, `dropped` those for
    which there was no room. `create_exporter` is set by the application.
    """

    kept: deque[Measurement] = field(
        default_factory=partial(deque, maxlen=KEPT_MEASUREMENTS)
    )
    dropped: int = 0
    exporter: Exporter | None = None
    create_exporter: ExporterSource | None = None
    loading: curio.Lock = field(default_factory=curio.Lock)

    def note(
        self, instrument: str, amount: float, **attributes: str | int
    ) -> None:
        """Take a measurement now, or keep it for the first scrape."""
        measurement = Measurement(instrument, amount, attributes)
        if self.exporter is not None:
            self.exporter.take(measurement)
            return
        if len(self.kept) == KEPT_MEASUREMENTS:
            self.dropped += 1
        self.kept.append(measurement)

    def answered(self, route: str, status: int, seconds: float) -> None:
        """Count an answer to a client; the route is empty when none matched.

        `seconds` is the time to the head of the answer.
        """
        self.note(ANSWERS, 1, route=route, status=status)
        self.note(ANSWER_SECONDS, seconds, route=route)

    def waited(self, service: str, seconds: float, *, placed: bool) -> None:
        """Count a request's wait for an endpoint with room."""
        found = 'placed' if placed else 'no room'
        self.note(WAIT_SECONDS, seconds, service=service, found=found)

    def sent(self, service: str, outcome: str) -> None:
        """Count a send to an endpoint."""
        self.note(SENDS, 1, service=service, outcome=outcome)

    def streamed(
        self,
        service: str,
        outcome: str,
        first_seconds: float | None,
        longest_gap: float,
    ) -> None:
        """Count a stream that ended; None when it had no event.

        `longest_gap` is the longest pause between two events, in seconds.
        """
        self.note(STREAMS, 1, service=service, outcome=outcome)
        if first_seconds is not None:
            self.note(FIRST_SECONDS, first_seconds, service=service)
            self.note(GAP_SECONDS, longest_gap, service=service)

    def copied(self, service: str, *, done: bool) -> None:
        """Count a copy of a run, or one that failed."""
        outcome = 'done' if done else 'failed'
        self.note(COPIES, 1, service=service, outcome=outcome)

    async def render(self) -> bytes:
        """Return all metrics; the first call loads the exporter."""
        async with self.loading:
            if self.exporter is None:
                self.exporter = await self.load()
        return self.exporter.render()

    async def load(self) -> Exporter:
        """Load the exporter and hand it what was measured before."""
        for name in LOADED_FIRST:
            import_module(name)
            await curio.sleep(LOAD_PAUSE_SECONDS)
        if self.create_exporter is None:
            raise RuntimeError('set create_exporter before the first scrape')
        exporter = self.create_exporter()
        while self.kept:
            exporter.take(self.kept.popleft())
        if self.dropped:
            exporter.take(Measurement(DROPPED, self.dropped, {}))
        return exporter


def create_instruments() -> Instruments:
    """Return the instruments of one node."""
    return Instruments()
