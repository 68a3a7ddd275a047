"""Counts of one node's responses by version, since a roll-out was ordered."""

from dataclasses import dataclass, field
from itertools import repeat

from turmericyard_decisions.rollout_stage import ExposureBudget
from turmericyard_decisions.version_comparison import (
    ALL_ROUTES,
    TIME_CLASSES,
    VersionComparison,
    time_class,
)
from turmericyard_protocol.fleet_messages import RolloutCount

#: Bad responses beyond those of the old version with which a node stops on its
#: own. Until this many, the platform does not limit the time to the decision.
STOP_BAD = 50


def no_counts() -> list[int]:
    """Return the counts of a version without responses: failures, times."""
    return list(repeat(0, 1 + TIME_CLASSES))


@dataclass(slots=True)
class RouteCounts:
    """Responses of both versions on one route."""

    old: list[int] = field(default_factory=no_counts)
    new: list[int] = field(default_factory=no_counts)


@dataclass(slots=True)
class NodeCounts:
    """Responses by route, and the requests sent.

    `comparison` compares the versions by this node's responses alone.
    """

    share: float
    routes: dict[str, RouteCounts] = field(default_factory=dict)
    budget: ExposureBudget = field(init=False)
    comparison: VersionComparison = field(default_factory=VersionComparison)

    def __post_init__(self) -> None:
        """Create a budget without slack."""
        self.budget = ExposureBudget(self.share)

    def record(
        self, route: str, seconds: float | None, *, is_new: bool
    ) -> None:
        """Count a response by its time; None for a failure."""
        counts = self.routes.setdefault(route, RouteCounts())
        counted = counts.new if is_new else counts.old
        counted[0 if seconds is None else 1 + time_class(seconds)] += 1

    def must_stop(self, now: float) -> bool:
        """Return whether this node alone has seen too many bad responses."""
        self.comparison.observe(
            {name: (each.old, each.new) for name, each in self.routes.items()},
            now,
        )
        return self.comparison.excess() >= STOP_BAD

    def to_messages(
        self, service: str, order: int, age: float
    ) -> list[RolloutCount]:
        """Return the counts for a heartbeat; the first has the totals."""
        messages = [
            RolloutCount(
                service,
                order,
                ALL_ROUTES,
                (),
                (),
                self.budget.sent,
                self.budget.sent_new,
                int(age * 1000),
            )
        ]
        messages.extend(
            RolloutCount(
                service, order, name, trimmed(counts.old), trimmed(counts.new)
            )
            for name, counts in self.routes.items()
        )
        return messages


def trimmed(counts: list[int]) -> tuple[int, ...]:
    """Return the counts without zeros at the end."""
    end = len(counts)
    while end and not counts[end - 1]:
        end -= 1
    return tuple(counts[:end])
