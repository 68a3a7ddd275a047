"""Records the measurements of a forwarding node.

The metrics library takes longer to load than the rest of the node, so that it
is loaded by the first scrape. Measurements are kept in memory until then.
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
STOPS = 'turmericyard.forwarding.stops'
HEDGES = 'turmericyard.forwarding.hedges'
HEDGES_REFUSED = 'turmericyard.forwarding.hedges_refused'
DROPPED = 'turmericyard.forwarding.dropped_measurements'
#: Measurements kept until the first scrape: those of a busy node for some
#: minutes, a few megabytes.
MAX_PENDING_MEASUREMENTS = 20_000
#: Modules imported one by one before the exporter, so that no single import
#: blocks the event loop for long.
PRELOADED_MODULES = (
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
#: Pause for other tasks between two imports, in seconds.
IMPORT_PAUSE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Measurement:
    """An amount to be added to a counter or recorded in a histogram."""

    instrument: str
    amount: float
    attributes: dict[str, Any]


class Exporter(Protocol):
    """Records measurements and renders all metrics.

    `gauges` registers values that are read at each scrape.
    """

    gauges: Any

    def record(self, measurement: Measurement) -> None:
        """Add a measurement to its instrument."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


ExporterFactory = Callable[[], Exporter]


@dataclass(slots=True)
class Instruments:
    """Records measurements and renders them as metrics.

    `pending` has the measurements made before the first scrape, `dropped`
    counts those beyond `MAX_PENDING_MEASUREMENTS`. The application sets
    `create_exporter`.
    """

    pending: deque[Measurement] = field(
        default_factory=partial(deque, maxlen=MAX_PENDING_MEASUREMENTS)
    )
    dropped: int = 0
    exporter: Exporter | None = None
    create_exporter: ExporterFactory | None = None
    load_lock: curio.Lock = field(default_factory=curio.Lock)

    def measure(
        self, instrument: str, amount: float, **attributes: str | int
    ) -> None:
        """Record a measurement, or keep it until the first scrape."""
        measurement = Measurement(instrument, amount, attributes)
        if self.exporter is not None:
            self.exporter.record(measurement)
            return
        if len(self.pending) == MAX_PENDING_MEASUREMENTS:
            self.dropped += 1
        self.pending.append(measurement)

    def record_answer(self, route: str, status: int, seconds: float) -> None:
        """Record an answer to a client; the route is empty when none matched.

        `seconds` is the time to the head of the answer.
        """
        self.measure(ANSWERS, 1, route=route, status=status)
        self.measure(ANSWER_SECONDS, seconds, route=route)

    def record_wait(
        self, service: str, seconds: float, *, placed: bool
    ) -> None:
        """Record how long a request waited for an endpoint with room."""
        found = 'placed' if placed else 'no room'
        self.measure(WAIT_SECONDS, seconds, service=service, found=found)

    def record_send(self, service: str, outcome: str) -> None:
        """Count a request sent to an endpoint by its outcome."""
        self.measure(SENDS, 1, service=service, outcome=outcome)

    def record_stream(
        self,
        service: str,
        outcome: str,
        first_seconds: float | None,
        longest_gap: float,
    ) -> None:
        """Record a stream that ended.

        `first_seconds` is the time to its first event, None when it had no
        event; `longest_gap` is the longest time between two events. Both are
        in seconds.
        """
        self.measure(STREAMS, 1, service=service, outcome=outcome)
        if first_seconds is not None:
            self.measure(FIRST_SECONDS, first_seconds, service=service)
            self.measure(GAP_SECONDS, longest_gap, service=service)

    def record_copy(self, service: str, *, done: bool) -> None:
        """Count a copy of a run that was made or failed."""
        outcome = 'done' if done else 'failed'
        self.measure(COPIES, 1, service=service, outcome=outcome)

    def record_stop(self, service: str, outcome: str) -> None:
        """Count a run that an endpoint was told to stop, by its reply."""
        self.measure(STOPS, 1, service=service, outcome=outcome)

    async def render(self) -> bytes:
        """Return all metrics; the first call loads the exporter."""
        async with self.load_lock:
            if self.exporter is None:
                self.exporter = await self.load()
        return self.exporter.render()

    async def load(self) -> Exporter:
        """Load the exporter and pass it the pending measurements."""
        for name in PRELOADED_MODULES:
            import_module(name)
            await curio.sleep(IMPORT_PAUSE_SECONDS)
        if self.create_exporter is None:
            raise RuntimeError('set create_exporter before the first scrape')
        exporter = self.create_exporter()
        while self.pending:
            exporter.record(self.pending.popleft())
        if self.dropped:
            exporter.record(Measurement(DROPPED, self.dropped, {}))
        return exporter


def create_instruments() -> Instruments:
    """Return the instruments of one node."""
    return Instruments()
