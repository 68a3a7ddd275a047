"""Permits for work at one endpoint, counted by its owner.

The owner adds up the shares that are lent to it. It grants permits while its
own work, and the work of others that the endpoint reports, fit into this sum. A
share counts only once a report that was made after the start of its loan shows
how much work of earlier borrowers still runs. DESIGN-permits.md contains the proof.
"""

from collections.abc import Set
from dataclasses import dataclass, field, replace

from turmericyard_decisions.loan import CLOCK_RATE_MARGIN, LoanGranted
from turmericyard_decisions.share import SHARE_COUNT, share_size

#: Time within which a permit must be used, in seconds since the request.
VALIDITY_SECONDS = 1.0

#: Longest time, in seconds, from sending the first byte until the endpoint
#: counts the work.
TRANSIT_SECONDS = 1.0

#: Time for which ids of ended work are kept, in seconds.
ENDED_WORK_RETENTION_SECONDS = 60.0

#: Value of `since` for a share that had no earlier borrower, and of
#: `returned_at` for one that was never returned.
NO_EARLIER_LOAN = float('-inf')


@dataclass(frozen=True, slots=True)
class BorrowedShare:
    """A share that is lent to this owner; times are on the owner's clock.

    All earlier loans of the share had expired by `since`. Answers to loan
    requests that were sent up to `returned_at` are ignored.
    """

    lent: LoanGranted
    since: float
    until: float
    returned_at: float = NO_EARLIER_LOAN


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Ids of the work that an endpoint reported.

    `generated_at` is the earliest time on the owner's clock at which the report
    can have been made. Work that was sent more than `TRANSIT_SECONDS` before
    that time and is not listed has ended.
    """

    generated_at: float
    work: Set[str]


@dataclass(frozen=True, slots=True)
class Grant:
    """A granted permit whose work has not ended."""

    work: str
    node: str
    granted_at: float


@dataclass(frozen=True, slots=True)
class PermitGranted:
    """Answer that the work may be sent within `validity_seconds`.

    The validity is counted from the time of the request.
    """

    work: str
    validity_seconds: float


@dataclass(frozen=True, slots=True)
class PermitRefused:
    """Answer that no permit is granted; nothing was counted."""

    detail: str
    retry_seconds: float = 0.05

    @property
    def message(self) -> str:
        """Return the reason and what to do."""
        return f'no permit ({self.detail}): retry here or at another endpoint'


PermitAnswer = PermitGranted | PermitRefused


@dataclass(slots=True)
class PermitLedger:
    """Counts the work that this owner has permitted at one endpoint.

    `bound` is the current capacity of the endpoint. Any sign of a cold start
    lowers it, and only the owner raises it.
    """

    bound: int
    share_count: int = SHARE_COUNT
    validity_seconds: float = VALIDITY_SECONDS
    transit_seconds: float = TRANSIT_SECONDS
    shares: dict[int, BorrowedShare] = field(default_factory=dict)
    grants: dict[str, Grant] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    report: LoadReport | None = None

    def borrow(
        self,
        rank: int,
        lent: LoanGranted,
        *,
        sent_at: float,
        received_at: float,
        loan_seconds: float,
    ) -> None:
        """Record a loan, requested at `sent_at` and answered at `received_at`."""
        since = NO_EARLIER_LOAN if lent.fresh else received_at
        loan = BorrowedShare(lent, since, sent_at + loan_seconds)
        held = self.shares.get(rank)
        if held is None:
            self.shares[rank] = loan
        elif sent_at > held.returned_at:
            self.shares[rank] = replace(
                loan,
                since=held.since if held.lent == lent else since,
                until=max(loan.until, held.until),
            )

    def stop_using_shares(self, now: float) -> bool:
        """Stop using all shares, unless a granted permit can still be used.

        Returns True when the shares are no longer used; the lenders may then be
        notified.
        """
        if any(self.last_use(grant) > now for grant in self.grants.values()):
            return False
        for rank, held in self.shares.items():
            until = min(held.until, now)
            self.shares[rank] = replace(held, until=until, returned_at=now)
        return True

    def observe(self, report: LoadReport, now: float) -> None:
        """Apply a report if it is newer than the last one."""
        if self.report and report.generated_at <= self.report.generated_at:
            return
        self.report = report
        for work, grant in tuple(self.grants.items()):
            visible_at = self.last_use(grant) + self.transit_seconds
            if visible_at <= report.generated_at and work not in report.work:
                self.release(work, now)
        for work, ended_at in tuple(self.ended.items()):
            if ended_at + ENDED_WORK_RETENTION_SECONDS < now:
                self.ended.pop(work)

    def last_use(self, grant: Grant) -> float:
        """Return the latest time at which the permit can have been used."""
        return grant.granted_at + self.permit_seconds()

    def permit_seconds(self) -> float:
        """Return the validity of a permit, with the margin for clock rates."""
        return self.validity_seconds * (1 + CLOCK_RATE_MARGIN)

    def release(self, work: str, now: float) -> None:
        """Record that work has ended, or that it will certainly not start."""
        if self.grants.pop(work, None):
            self.ended[work] = now

    def permitted_capacity(self, now: float) -> int:
        """Return how much work the shares allow for permits granted now."""
        return self.permitted_capacity_for(now, self.bound)

    def permitted_capacity_for(self, now: float, bound: int) -> int:
        """Return how much work the shares would allow with another bound."""
        needed_until = now + self.permit_seconds()
        return sum(
            share_size(bound, rank, self.share_count)
            for rank, held in self.shares.items()
            if held.until >= needed_until and self.settled(held)
        )

    def settled(self, held: BorrowedShare) -> bool:
        """Return whether a report shows the work of earlier borrowers."""
        if held.since == NO_EARLIER_LOAN:
            return True
        if self.report is None:
            return False
        return self.report.generated_at >= held.since + self.transit_seconds

    def foreign_work(self) -> int:
        """Return how much reported work was not permitted by this owner."""
        if self.report is None:
            return 0
        return sum(
            work not in self.grants and work not in self.ended
            for work in self.report.work
        )

    def free(self, now: float) -> int:
        """Return how many permits could be granted now."""
        return max(
            0,
            self.permitted_capacity(now)
            - len(self.grants)
            - self.foreign_work(),
        )

    def request(self, work: str, node: str, now: float) -> PermitAnswer:
        """Grant or refuse a node a permit for the work with this unique id."""
        if work in self.grants or work in self.ended:
            return PermitRefused('work id used before')
        if not self.permitted_capacity(now):
            return PermitRefused('no share settled', self.validity_seconds)
        if not self.free(now):
            return PermitRefused('endpoint full')
        self.grants[work] = Grant(work, node, now)
        return PermitGranted(work, self.validity_seconds)


@dataclass(frozen=True, slots=True)
class Permit:
    """A permit at the node that uses it; times are on that node's clock."""

    work: str
    use_before: float

    def usable(self, now: float) -> bool:
        """Return whether the first byte may be sent at `now`."""
        return now < self.use_before
