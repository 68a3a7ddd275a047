"""Messages between nodes that share one endpoint's limit, and its work.

Every node has its own clock. Messages may be late or lost and reports lag.
"""

from collections.abc import Callable

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from support.permit_node import Node
from turmericyard_decisions.loan import (
    CLOCK_RATE_MARGIN,
    Holder,
    Lender,
    LoanGranted,
    Share,
)
from turmericyard_decisions.permit import (
    LoadReport,
    Permit,
    PermitGranted,
    PermitLedger,
)
from turmericyard_decisions.share import share_slots
from turmericyard_decisions.view import create_view

NODES = ('n0', 'n1', 'n2')
SLOTS = 6
SHARES = 3
LIMIT = 4
LOAN = 4.0
VALIDITY = 2.0
TRANSIT = 0.5
ENDPOINT = 'engine'

nodes = st.sampled_from(NODES)
fates = st.sampled_from(
    ['done', 'done', 'done', 'late request', 'late answer', 'lost answer']
)


class PermitMessages(RuleBasedStateMachine):
    """Nodes, messages under way and the endpoint."""

    lender_type = Lender
    ledger_type = PermitLedger
    check_use = True
    limit = LIMIT

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.works = 0
        self.running: set[str] = set()
        self.transit: list[tuple[str, float]] = []
        self.history: list[tuple[float, frozenset[str]]] = [(0, frozenset())]
        self.owners: dict[str, str] = {}
        self.late: list[tuple[str, Callable[[Node], None]]] = []
        self.slots = share_slots(ENDPOINT, SHARES, SLOTS)

    @initialize(rates=st.tuples(*[st.sampled_from([0.996, 1, 1.004])] * 3))
    def start(self, rates: tuple[float, ...]) -> None:
        members = [Holder(name, '0') for name in NODES]
        self.view = create_view(members, SLOTS)
        self.nodes = {}
        for number, name in enumerate(NODES):
            node = Node(
                name,
                rates[number],
                100 * number,
                self.view,
                lambda holder: self.lender_type(holder, LOAN),
                lambda: self.ledger_type(self.limit, SHARES, VALIDITY, TRANSIT),
            )
            node.learn(self.view, 0)
            self.nodes[name] = node

    def send(self, fate: str, to: str, action: Callable[[Node], None]) -> None:
        """Carry a message to a node, now, later or never."""
        if fate == 'lost':
            return
        if fate == 'late' or self.nodes[to].frozen:
            self.late.append((to, action))
        elif self.nodes[to].alive:
            action(self.nodes[to])

    def request(self, fate: str) -> str:
        return 'late' if fate == 'late request' else 'now'

    def answer(self, fate: str) -> str:
        return {'late answer': 'late', 'lost answer': 'lost'}.get(fate, 'now')

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.1, 2.5, 3.8, 4.1, 9]))
    def advance(self, seconds: float) -> None:
        end = self.time + seconds
        for work, deadline in tuple(self.transit):
            if deadline <= end:
                self.time = max(self.time, deadline)
                self.arrive(work, deadline)
        self.time = end

    def arrive(self, work: str, deadline: float) -> None:
        self.transit.remove((work, deadline))
        self.running.add(work)
        self.history.append((self.time, frozenset(self.running)))

    @precondition(lambda self: self.transit)
    @rule()
    def arrive_early(self) -> None:
        self.arrive(*self.transit[0])

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        index = data.draw(st.sampled_from(range(len(self.late))))
        to, action = self.late[index]
        if self.nodes[to].acts:
            self.late.pop(index)
            action(self.nodes[to])

    @rule(name=nodes, fate=fates)
    def borrow(self, name: str, fate: str) -> None:
        node = self.nodes[name]
        if node.acts:
            for rank, slot in enumerate(self.slots):
                self.borrow_one(node, rank, slot, fate)

    def borrow_one(self, node: Node, rank: int, slot: int, fate: str) -> None:
        sent_at = node.clock(self.time)
        borrower, share = node.holder, Share(ENDPOINT, rank, slot)

        def lend(lender: Node) -> None:
            answer = lender.lender.lend(
                share, borrower, lender.clock(self.time)
            )
            if isinstance(answer, LoanGranted):
                self.send(
                    self.answer(fate), node.name, lambda to: note(to, answer)
                )

        def note(to: Node, answer: LoanGranted) -> None:
            if to.holder == borrower:
                to.ledger.borrow(
                    rank,
                    answer,
                    sent_at=sent_at,
                    received_at=to.clock(self.time),
                    loan_seconds=LOAN,
                )

        lender_name = node.view.slots[slot].holder.node
        self.send(self.request(fate), lender_name, lend)

    @rule(name=nodes, lag=st.sampled_from([0, 0, 0.5, 2, 5]), fate=fates)
    def report(self, name: str, lag: float, fate: str) -> None:
        node = self.nodes[name]
        if not node.acts:
            return
        asked_at, borrower = node.clock(self.time), node.holder
        taken = [work for time, work in self.history if time <= self.time - lag]
        generated_at = asked_at - lag * (1 + CLOCK_RATE_MARGIN)
        listed = LoadReport(generated_at, taken[-1] if taken else frozenset())

        def observe(to: Node) -> None:
            if to.holder == borrower and (taken or lag == 0):
                to.ledger.observe(listed, to.clock(self.time))

        self.send(self.answer(fate), name, observe)

    @rule(name=nodes, owner=nodes, count=st.sampled_from([1, 2, 4]), fate=fates)
    def ask(self, name: str, owner: str, count: int, fate: str) -> None:
        node = self.nodes[name]
        if node.acts:
            for _ in range(count):
                self.ask_one(node, owner, fate)

    def ask_one(self, node: Node, owner: str, fate: str) -> None:
        self.works += 1
        work, sent_at = f'w{self.works}', node.clock(self.time)
        holder = node.holder

        def decide(to: Node) -> None:
            answer = to.ledger.request(work, node.name, to.clock(self.time))
            if isinstance(answer, PermitGranted):
                permit = Permit(work, sent_at + VALIDITY)
                self.owners[work] = to.name
                self.send(
                    self.answer(fate),
                    node.name,
                    lambda back: take(back, permit),
                )

        def take(back: Node, permit: Permit) -> None:
            if back.holder == holder:
                back.permits.append(permit)

        self.send(self.request(fate), owner, decide)

    @rule(name=nodes)
    def use(self, name: str) -> None:
        node = self.nodes[name]
        if not node.acts:
            return
        for permit in node.permits:
            usable = permit.usable(node.clock(self.time))
            if usable or not self.check_use:
                self.transit.append((permit.work, self.time + TRANSIT))
        node.permits = []

    @precondition(lambda self: self.running)
    @rule(fate=fates, data=st.data())
    def finish(self, fate: str, data: st.DataObject) -> None:
        self.end(data.draw(st.sampled_from(sorted(self.running))), fate)

    def end(self, work: str, fate: str) -> None:
        self.running.remove(work)
        self.history.append((self.time, frozenset(self.running)))
        self.send(
            self.answer(fate),
            self.owners[work],
            lambda to: to.ledger.release(work, to.clock(self.time)),
        )

    def deliver_all(self) -> None:
        late, self.late = self.late, []
        for to, action in late:
            self.send('now', to, action)
