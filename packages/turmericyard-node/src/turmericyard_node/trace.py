"""Traces of the decisions on recent requests, in bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import orjson

from turmericyard_http.clock import Clock

MAX_STEPS = 64


@dataclass(frozen=True, slots=True)
class Step:
    """One decision with its inputs; `at` is in seconds since the Unix epoch."""

    at: float
    node: str
    step: str
    details: dict[str, Any]

    def line(self) -> str:
        """Return the step as one JSON line."""
        return orjson.dumps(self, default=str).decode()


@dataclass(slots=True)
class RequestTraces:
    """Steps by request id; the oldest request is evicted first."""

    node: str
    wall_clock: Clock
    capacity: int
    traces: OrderedDict[str, list[Step]] = field(default_factory=OrderedDict)

    def add(self, request: str, step: str, **details: Any) -> None:
        """Record one decision on a request.

        Repetitions of the last step, and steps after MAX_STEPS, are ignored.
        """
        steps = self.traces.get(request)
        if steps is None:
            steps = []
            self.traces[request] = steps
            if len(self.traces) > self.capacity:
                self.traces.popitem(last=False)
        repeated = steps and (steps[-1].step, steps[-1].details) == (
            step,
            details,
        )
        if len(steps) < MAX_STEPS and not repeated:
            steps.append(Step(self.wall_clock(), self.node, step, details))

    def lines(self, request: str) -> tuple[str, ...]:
        """Return the steps of a request as JSON lines."""
        return tuple(step.line() for step in self.traces.get(request, ()))
