"""Loans of endpoint shares between nodes.

A node lends the shares of its slots, each to one borrower at a time. The
lender counts the loan from the time at which it received the request, the
borrower from the time at which it sent the request, so the loan always expires
at the borrower first. The clocks need not be synchronised; only their rates must agree
within `CLOCK_RATE_MARGIN`.
"""

from dataclasses import dataclass, field, replace

#: Largest relative difference between the clock rates of two machines.
CLOCK_RATE_MARGIN = 0.01

#: Duration of a loan, in seconds, as the borrower counts it.
LOAN_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of a node: one run of its process, on a VM."""

    node: str
    incarnation: str
    vm: str = ''


@dataclass(frozen=True, slots=True)
class Share:
    """One share of an endpoint and the slot to which it belongs."""

    endpoint: str
    rank: int
    slot: int


@dataclass(frozen=True, slots=True)
class LoanGranted:
    """Answer that the share is lent until the loan expires.

    The lender starts a new `term` each time the share gets another borrower.
    The share is fresh when no other borrower has ever had it.
    """

    lender: Holder
    term: int
    fresh: bool


@dataclass(frozen=True, slots=True)
class LoanRefused:
    """Answer that the share is not lent; retry after `retry_seconds`."""

    detail: str
    retry_seconds: float

    @property
    def message(self) -> str:
        """Return the reason and what to do."""
        return f'share not lent ({self.detail}): retry later'


LoanAnswer = LoanGranted | LoanRefused


@dataclass(frozen=True, slots=True)
class Loan:
    """Latest loan of a share; `until` is on the lender's clock."""

    share: Share
    borrower: Holder
    until: float
    term: int
    fresh: bool


def lender_seconds(loan_seconds: float) -> float:
    """Return for how long the lender must treat a share as lent."""
    return loan_seconds * (1 + CLOCK_RATE_MARGIN)


@dataclass(slots=True)
class Lender:
    """Lends the shares of the slots that this node holds.

    `lendable_from` maps each held slot to the time from which its shares may
    be lent. `never_lent_slots` contains the slots whose shares were never lent
    by another node, `closing` those that are being handed over to another node
    and whose shares are no longer lent.
    """

    holder: Holder
    loan_seconds: float = LOAN_SECONDS
    lendable_from: dict[int, float] = field(default_factory=dict)
    never_lent_slots: set[int] = field(default_factory=set)
    closing: set[int] = field(default_factory=set)
    loans: dict[tuple[str, int], Loan] = field(default_factory=dict)
    last_term: int = 0

    def hold(self, slot: int, now: float, *, fresh: bool) -> None:
        """Start holding a slot.

        Unless the slot is fresh, loans made by its previous holder may be
        valid for the duration of one loan, and nothing is lent until then.
        """
        if slot in self.lendable_from:
            return
        self.lendable_from[slot] = now
        if fresh:
            self.never_lent_slots.add(slot)
        else:
            self.lendable_from[slot] += lender_seconds(self.loan_seconds)

    def drop(self, slot: int) -> None:
        """Stop holding a slot that was handed over to another node."""
        self.lendable_from.pop(slot, None)
        self.never_lent_slots.discard(slot)
        self.closing.discard(slot)
        dropped = [
            key for key, loan in self.loans.items() if loan.share.slot == slot
        ]
        for key in dropped:
            self.loans.pop(key)

    def idle(self, slot: int, now: float) -> bool:
        """Return whether no loan of the slot's shares is valid."""
        return self.lendable_from.get(slot, now) <= now and all(
            loan.until <= now
            for loan in self.loans.values()
            if loan.share.slot == slot
        )

    def lend(self, share: Share, borrower: Holder, now: float) -> LoanAnswer:
        """Lend a share or renew its loan; `now` is when the request arrived."""
        lendable_from = self.lendable_from.get(share.slot)
        if lendable_from is None or share.slot in self.closing:
            return LoanRefused('slot not held', self.loan_seconds)
        if now < lendable_from:
            return LoanRefused('slot taken over', lendable_from - now)
        latest = self.loans.get((share.endpoint, share.rank))
        if latest and latest.borrower != borrower and now < latest.until:
            return LoanRefused('lent to another node', latest.until - now)
        loan = self.next_loan(share, borrower, latest)
        until = now + lender_seconds(self.loan_seconds)
        self.loans[share.endpoint, share.rank] = replace(loan, until=until)
        return LoanGranted(self.holder, loan.term, loan.fresh)

    def next_loan(
        self, share: Share, borrower: Holder, latest: Loan | None
    ) -> Loan:
        """Return the latest loan, or a new term for another borrower."""
        if latest and latest.borrower == borrower:
            return latest
        self.last_term += 1
        fresh = latest is None and share.slot in self.never_lent_slots
        return Loan(share, borrower, 0, self.last_term, fresh)

    def end_loan(self, share: Share, borrower: Holder, now: float) -> None:
        """End a loan early, after the borrower stopped using the share."""
        latest = self.loans.get((share.endpoint, share.rank))
        if latest and latest.borrower == borrower:
            self.loans[share.endpoint, share.rank] = replace(latest, until=now)
