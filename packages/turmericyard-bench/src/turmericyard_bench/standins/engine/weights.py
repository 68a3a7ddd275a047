"""Model, version, role and adapters of an engine, changed by orders."""

import math
from dataclasses import dataclass, field

from turmericyard_bench.engine.events import RefusalKind
from turmericyard_bench.engine.model import EngineModel

ACCEPTED = 202
BAD_REQUEST = 400
CONFLICT = 409
UNAVAILABLE = 503
ORDER_KINDS = frozenset(
    ('load-model', 'load-adapter', 'set-version', 'set-role')
)


@dataclass(slots=True)
class Deployment:
    """Deployment of an engine and the orders that change it.

    A new model or version is loaded from the weights store. During the load
    the engine refuses new generations and other loads; it is cold afterwards.
    A load takes `weights_seconds` or, with `fetches_weights`, until
    `end_fetch` is called. The next `refused_loads` loads are refused, as the
    store would. An engine that checks fencing numbers refuses orders below
    `highest_fencing`.
    """

    model: str
    version: str
    role: str
    adapters: tuple[str, ...]
    checks_fencing: bool
    weights_seconds: float
    fetches_weights: bool = False
    highest_fencing: int = 0
    refused_loads: int = 0
    loading_until: float = 0
    pending: list[tuple[str, str]] = field(default_factory=list)

    def serves(self, model: str, adapter: str) -> bool:
        """Return whether the engine can run a generation of the model."""
        return model == self.model and (not adapter or adapter in self.adapters)

    def take_order(
        self,
        fencing: int,
        kind: str,
        argument: str,
        engine: EngineModel,
        now: float,
    ) -> int:
        """Accept or refuse an order; return the HTTP status."""
        if kind not in ORDER_KINDS:
            return BAD_REQUEST
        if self.checks_fencing and fencing < self.highest_fencing:
            return CONFLICT
        self.highest_fencing = max(self.highest_fencing, fencing)
        if kind == 'set-role':
            self.role = argument
            return ACCEPTED
        if now < self.loading_until or self.refused_loads:
            self.refused_loads = max(0, self.refused_loads - 1)
            return UNAVAILABLE
        self.pending.append((kind, argument))
        needs_fetch = self.next_fetch() is not None
        seconds = math.inf if needs_fetch else self.weights_seconds
        self.loading_until = now + seconds
        if kind != 'load-adapter':
            engine.refuse_until(self.loading_until, RefusalKind.LOADING)
        return ACCEPTED

    def next_fetch(self) -> tuple[str, str] | None:
        """Return the model and version to fetch for the current load.

        None when there is no load or it needs no fetch.
        """
        if not self.fetches_weights or not self.pending:
            return None
        kind, argument = self.pending[-1]
        if kind == 'load-model':
            return argument, self.version
        return (self.model, argument) if kind == 'set-version' else None

    def end_fetch(
        self, engine: EngineModel, now: float, *, complete: bool
    ) -> None:
        """End the current load; with incomplete weights nothing changes."""
        if not complete:
            self.pending.clear()
        self.loading_until = now
        engine.refuse_until(now, RefusalKind.LOADING)

    def finish_loads(self, engine: EngineModel, now: float) -> None:
        """Apply finished loads."""
        if now < self.loading_until:
            return
        while self.pending:
            kind, argument = self.pending.pop(0)
            if kind == 'load-adapter':
                self.adapters = (*self.adapters, argument)
                continue
            if kind == 'load-model':
                self.model = argument
            else:
                self.version = argument
            engine.turn_cold(now)
