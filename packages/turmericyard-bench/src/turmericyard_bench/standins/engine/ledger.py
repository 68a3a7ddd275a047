"""Ledger of an engine stand-in, read by tests."""

from dataclasses import asdict, dataclass, field
from typing import Any

from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.standins.engine.held import HeldGeneration


@dataclass(frozen=True, slots=True)
class Occurrence:
    """An event of the engine; `at` in boot-clock seconds."""

    at: float
    kind: str
    detail: str = ''


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """An order and the HTTP status of its answer."""

    at: float
    fencing: int
    order: str
    argument: str
    status: int


@dataclass(slots=True)
class Ledger:
    """All generations, occurrences and orders since the process started."""

    generations: list[HeldGeneration] = field(default_factory=list)
    occurrences: list[Occurrence] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)

    def as_json(self, model: EngineModel, now: float) -> dict[str, Any]:
        """Return the ledger as JSON values for the control port."""
        return {
            'now': now,
            'restart': model.restart,
            'cold': model.warmth.is_cold,
            'capacity': model.warmth.capacity,
            'preemptions': model.scheduler.preemptions,
            'stalls': model.stalls,
            'stall_seconds': model.stall_seconds,
            'generations': [held.ledger_entry() for held in self.generations],
            'excesses': [asdict(excess) for excess in model.excesses],
            'occurrences': [asdict(each) for each in self.occurrences],
            'orders': [asdict(order) for order in self.orders],
        }
