"""Which nodes are the hubs of this one, and the last report of each."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.hub import LIVE_SECONDS
from turmericyard_node.members import LIVE, Member, Membership

#: Hubs that a node sends heartbeats to: the second serves when the first fails.
HUBS = 2
#: Time for which a hub that did not answer is not chosen, in seconds.
EXCLUSION_SECONDS = 3.0
#: Age of a hub's last answer from the store above which a node reads the store
#: itself, in seconds: longer than a watch without changes, the pause after it
#: and the interval of heartbeats together.
STALE_SECONDS = 1.4


@dataclass(slots=True)
class HubReport:
    """The last state that a hub sent, and when it was received.

    `ejections` are the ejected endpoints, each with a zone or `ALL_ZONES`;
    `store_age` is the age of the hub's last answer from the store, in seconds.
    """

    received_at: float = float('-inf')
    sequence: int = 0
    members: dict[str, bool] = field(default_factory=dict)
    ejections: frozenset[tuple[str, str]] = frozenset()
    store_age: float = float('inf')
    #: Whether the hub's own calls to the store failed recently.
    store_failed: bool = False
    #: Nodes that reach no endpoint by themselves.
    cut_off: frozenset[str] = frozenset()


@dataclass(slots=True)
class HubChoice:
    """The hubs of this node, which may include itself."""

    membership: Membership
    clock: Clock
    names: list[str] = field(default_factory=list)
    reports: dict[str, HubReport] = field(default_factory=dict)
    excluded_until: dict[str, float] = field(default_factory=dict)

    def choose(self) -> None:
        """Choose the hubs: large machines first, then in a fixed order."""
        now = self.clock()
        candidates = [
            member
            for node, member in self.membership.members.items()
            if member.state == LIVE
            and self.excluded_until.get(node, now) <= now
        ]
        candidates.sort(key=rank)
        self.names = [member.node for member in candidates[:HUBS]]
        self.drop_former_reports()

    def drop_former_reports(self) -> None:
        """Drop the reports of former hubs, which send no updates any more."""
        self.reports = {
            node: report
            for node, report in self.reports.items()
            if node in self.names or self.is_current(node)
        }

    def exclude(self, node: str) -> None:
        """Exclude an unresponsive hub for `EXCLUSION_SECONDS`."""
        self.excluded_until[node] = self.clock() + EXCLUSION_SECONDS
        self.reports.pop(node, None)
        self.choose()

    def other_hubs(self) -> list[str]:
        """Return the hubs to send heartbeats to."""
        own = self.membership.own.node
        return [node for node in self.names if node != own]

    def is_hub(self) -> bool:
        """Return whether this node is one of its own hubs."""
        return self.membership.own.node in self.names

    def in_preference_order(self) -> list[str]:
        """Return the hubs, this node and those with recent updates first."""
        own = self.membership.own.node
        return sorted(
            self.names,
            key=lambda node: node != own and not self.is_current(node),
        )

    def is_current(self, node: str) -> bool:
        """Return whether a hub sent an update recently."""
        report = self.reports.get(node)
        return (
            report is not None
            and self.clock() - report.received_at < LIVE_SECONDS
        )

    def current_report(self) -> HubReport | None:
        """Return the report of the first hub that sent an update recently."""
        for node in self.names:
            if self.is_current(node):
                return self.reports[node]
        return None

    def is_store_failing(self, *, failed: bool) -> bool:
        """Return whether the store answers no node that reads it.

        Each node reports failures of its own calls only, so that the reports
        of failure stop when the store answers again. `failed` says whether this
        node's own calls failed recently.
        """
        failures = [
            report.store_failed
            for node, report in self.reports.items()
            if self.is_current(node)
        ]
        if self.follows_store():
            failures.append(failed)
        return all(failures)

    def store_ages(self) -> dict[str, float]:
        """Return the age of each hub's last known answer from the store.

        In seconds, by the name of the hub. It grows until the next report: a
        hub that fell silent or lost the store may have nothing newer.
        """
        now = self.clock()
        return {
            node: round(now - report.received_at + report.store_age, 3)
            for node, report in self.reports.items()
        }

    def follows_store(self) -> bool:
        """Return whether this node must read the store itself."""
        if self.is_hub():
            return True
        ages = self.store_ages().values()
        return min(ages, default=float('inf')) > STALE_SECONDS


def rank(member: Member) -> tuple[float, int]:
    """Return the sort key of a member as a hub; the lowest come first."""
    order = xxh3_64_intdigest(member.node.encode())
    return -round(member.cores, 1), order
