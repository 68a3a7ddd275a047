"""A hub's sums of the counts that all nodes report for a roll-out."""

from dataclasses import dataclass, field

from turmericyard_decisions.version_comparison import (
    ALL_ROUTES,
    TIME_CLASSES,
    Counts,
    add,
)
from turmericyard_protocol.fleet_messages import FleetBeat, RolloutCount

MILLISECONDS = 1000
#: A node, one of its processes, and a route.
Source = tuple[str, int, str]


@dataclass(slots=True)
class OrderCounts:
    """The counts of one order by source, kept until the order ends.

    `began_at` is the earliest time at which a node saw the order.
    """

    began_at: float = float('inf')
    reports: dict[Source, RolloutCount] = field(default_factory=dict)

    def totals(self) -> dict[str, tuple[Counts, Counts]]:
        """Return the sums by route, of the old and the new version."""
        sums: dict[str, tuple[Counts, Counts]] = {}
        for (_, _, route), report in self.reports.items():
            if route == ALL_ROUTES:
                continue
            old, new = sums.get(route, ((), ()))
            sums[route] = (add(old, report.old), add(new, report.new))
        return sums

    def sent(self) -> tuple[int, int]:
        """Return the requests sent, all and those to the new version."""
        reports = self.reports.values()
        return (
            sum(report.sent for report in reports),
            sum(report.sent_new for report in reports),
        )

    def nodes(self) -> set[str]:
        """Return the nodes that have reported."""
        return {node for node, _, _ in self.reports}


@dataclass(slots=True)
class RolloutLedger:
    """The counts of all orders, by service and revision."""

    orders: dict[tuple[str, int], OrderCounts] = field(default_factory=dict)

    def record(self, node: str, heartbeat: FleetBeat, now: float) -> None:
        """Record the counts in a heartbeat."""
        for report in heartbeat.rollouts:
            self.record_report(node, heartbeat.started, report, now)

    def record_report(
        self, node: str, started: int, report: RolloutCount, now: float
    ) -> None:
        """Record a report; a node's heartbeats may arrive out of order."""
        if not is_valid(report):
            return
        key = (report.service, report.order)
        counts = self.orders.setdefault(key, OrderCounts())
        source = (node, started, report.route)
        known = counts.reports.get(source)
        if known is None or size(known) <= size(report):
            counts.reports[source] = report
        if report.route == ALL_ROUTES:
            began_at = now - report.age_ms / MILLISECONDS
            counts.began_at = min(counts.began_at, began_at)

    def counts(self, key: tuple[str, int]) -> OrderCounts:
        """Return the counts of an order, empty without any report."""
        return self.orders.get(key) or OrderCounts()

    def keep_only(self, keys: set[tuple[str, int]]) -> None:
        """Forget the counts of all other orders."""
        self.orders = {
            key: counts for key, counts in self.orders.items() if key in keys
        }


def size(report: RolloutCount) -> int:
    """Return what grows with each count of a report."""
    return sum(report.old) + sum(report.new) + report.sent + report.sent_new


def is_valid(report: RolloutCount) -> bool:
    """Return whether no count is negative and all classes are known."""
    counts = (*report.old, *report.new, report.sent, report.sent_new)
    longest = max(len(report.old), len(report.new))
    return min(counts) >= 0 and longest <= 1 + TIME_CLASSES
