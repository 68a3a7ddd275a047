"""One node of the state machine of permits."""

from collections.abc import Callable
from dataclasses import dataclass, field

from turmericyard_decisions.loan import Holder, Lender
from turmericyard_decisions.permit import Permit, PermitLedger
from turmericyard_decisions.view import View


@dataclass
class Node:
    """One node: its clock, what it knows, and its two ledgers."""

    name: str
    rate: float
    offset: float
    view: View
    make_lender: Callable[[Holder], Lender]
    make_ledger: Callable[[], PermitLedger]
    run: int = 0
    frozen: bool = False
    alive: bool = True
    permits: list[Permit] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.lender = self.make_lender(self.holder)
        self.ledger = self.make_ledger()

    @property
    def holder(self) -> Holder:
        return Holder(self.name, str(self.run))

    @property
    def acts(self) -> bool:
        return self.alive and not self.frozen

    def clock(self, time: float) -> float:
        return self.offset + self.rate * time

    def learn(self, view: View, time: float) -> None:
        if view.epoch < self.view.epoch:
            return
        self.view = view
        held = view.held_by(self.holder)
        for slot in held:
            self.lender.hold(
                slot, self.clock(time), fresh=view.never_moved(slot)
            )
        for slot in set(self.lender.lendable_from).difference(held):
            self.lender.drop(slot)

    def restart(self) -> None:
        self.run += 1
        self.frozen = False
        self.permits = []
        self.__post_init__()
