"""Variants of the permit rules, each without one protection."""

from support.permit_machine import PermitMachine
from turmericyard_decisions.loan import (
    Holder,
    Lender,
    LoanAnswer,
    LoanGranted,
    Share,
)
from turmericyard_decisions.permit import BorrowedShare, PermitLedger


class ForgetfulLender(Lender):
    def hold(self, slot: int, now: float, *, fresh: bool) -> None:
        Lender.hold(self, slot, now, fresh=True)


class HastyLender(Lender):
    def hold(self, slot: int, now: float, *, fresh: bool) -> None:
        Lender.hold(self, slot, now, fresh=fresh)
        self.lendable_from[slot] = min(self.lendable_from[slot], now)


class GenerousLender(Lender):
    def lend(self, share: Share, borrower: Holder, now: float) -> LoanAnswer:
        self.loans.clear()
        return Lender.lend(self, share, borrower, now)


class TermlessLender(Lender):
    def lend(self, share: Share, borrower: Holder, now: float) -> LoanAnswer:
        answer = Lender.lend(self, share, borrower, now)
        if isinstance(answer, LoanGranted):
            return LoanGranted(answer.lender, 1, answer.fresh)
        return answer


class UnsettledLedger(PermitLedger):
    def settled(self, held: BorrowedShare) -> bool:
        return True


class StaleReportLedger(PermitLedger):
    def settled(self, held: BorrowedShare) -> bool:
        return self.report is not None


class SelfishLedger(PermitLedger):
    def foreign_work(self) -> int:
        return 0


class EndlessPermitLedger(PermitLedger):
    def permit_seconds(self) -> float:
        return 0


class EarlyReturnLedger(PermitLedger):
    def last_use(self, grant: object) -> float:
        return 0


class LateCountLedger(PermitLedger):
    def borrow(
        self,
        rank: int,
        lent: LoanGranted,
        *,
        sent_at: float,
        received_at: float,
        loan_seconds: float,
    ) -> None:
        PermitLedger.borrow(
            self,
            rank,
            lent,
            sent_at=received_at,
            received_at=received_at,
            loan_seconds=loan_seconds,
        )


#: Attributes of the machine by the protection that is missing.
MISSING = {
    'lenders remember that slots had a holder': {
        'lender_type': ForgetfulLender
    },
    'new holders wait out old loans': {'lender_type': HastyLender},
    'lenders have one borrower at a time': {'lender_type': GenerousLender},
    'loans have terms': {'lender_type': TermlessLender},
    'shares are settled by a report': {'ledger_type': UnsettledLedger},
    'reports are newer than the loan': {'ledger_type': StaleReportLedger},
    'work of others is counted': {'ledger_type': SelfishLedger},
    'permits end before the loan': {'ledger_type': EndlessPermitLedger},
    'shares return after the permits': {'ledger_type': EarlyReturnLedger},
    'borrowers count from the request': {'ledger_type': LateCountLedger},
    'permits are checked before use': {'check_use': False},
}


def machine_without(protection: str) -> type[PermitMachine]:
    """Return the machine that lacks one protection."""
    return type('Unprotected', (PermitMachine,), MISSING[protection])
