"""State machine of nodes that share one endpoint's limit.

Beside the messages, nodes freeze, restart and die, and slots move. The
endpoint's own list of running work is the judge.
"""

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from support.permit_messages import (
    ENDPOINT,
    LIMIT,
    NODES,
    PermitMessages,
    fates,
    nodes,
)
from turmericyard_decisions.loan import Share
from turmericyard_decisions.view import (
    inherit_slots,
    move_slots,
    reassign_orphaned_slots,
)


class PermitMachine(PermitMessages):
    """Changes of nodes and of the view, and histories that are rare."""

    @rule(owner=nodes, asker=nodes, lag=st.sampled_from([None, 0, 2]))
    def fill(self, owner: str, asker: str, lag: float | None) -> None:
        """Use all that the owner can get, without a lost message."""
        self.borrow(owner, 'done')
        if lag is not None:
            self.report(owner, lag, 'done')
        self.ask(asker, owner, LIMIT, 'done')
        self.use(asker)

    @rule(
        names=st.permutations(NODES),
        fate=st.sampled_from(['done', 'late answer']),
        waits=st.tuples(*[st.sampled_from([0, 0.6, 1.5, 3.8])] * 4),
        returns=st.booleans(),
        restarts=st.booleans(),
    )
    def use_late(
        self,
        names: list[str],
        fate: str,
        waits: tuple[float, ...],
        returns: bool,
        restarts: bool,
    ) -> None:
        """Hold permits of one owner while another becomes the owner."""
        owner, heir, asker = names
        self.borrow(owner, fate)
        self.advance(waits[0])
        self.deliver_all()
        self.advance(waits[3])
        self.ask(asker, owner, LIMIT, 'done')
        if returns:
            self.give_back(owner, 'done')
        self.advance(waits[1])
        if restarts:
            self.restart(heir)
            self.take_predecessors_slots(heir)
        self.take_over(heir, 0, 0)
        self.advance(waits[2])
        self.use(asker)

    @rule(names=st.permutations(NODES), lag=st.sampled_from([None, 0, 5]))
    def alternate(self, names: list[str], lag: float | None) -> None:
        """Let two nodes be the owner in turn."""
        owner, heir, _ = names
        self.take_over(owner, 4.1, 0)
        for work in tuple(self.running):
            self.end(work, 'done')
        self.take_over(heir, 4.1, 0)
        self.advance(4.1)
        self.fill(owner, owner, lag)

    @rule(
        owner=nodes,
        wait=st.sampled_from([0.4, 0.6, 1.1, 2.5, 4.1]),
        lag=st.sampled_from([0, 0, 2, 5]),
    )
    def take_over(self, owner: str, wait: float, lag: float) -> None:
        """Become the owner of all shares that are to be had, and fill."""
        self.advance(wait)
        self.borrow(owner, 'done')
        self.advance(0.6)
        self.fill(owner, owner, lag)

    @rule(name=nodes, bound=st.sampled_from([1, 3, 4, 4]))
    def change_bound(self, name: str, bound: int) -> None:
        """Let one node take the endpoint's limit to be lower for a while."""
        self.nodes[name].ledger.bound = min(bound, self.limit)

    @rule(name=nodes)
    def freeze(self, name: str) -> None:
        self.nodes[name].frozen = True

    @rule(name=nodes)
    def thaw(self, name: str) -> None:
        self.nodes[name].frozen = False

    @rule(name=nodes)
    def restart(self, name: str) -> None:
        if self.nodes[name].alive:
            self.nodes[name].restart()

    @rule(name=nodes)
    def take_predecessors_slots(self, name: str) -> None:
        node = self.nodes[name]
        if node.acts:
            self.view = inherit_slots(self.view, node.holder) or self.view
            node.learn(self.view, self.time)

    @rule(name=nodes)
    def die(self, name: str) -> None:
        if sum(node.alive for node in self.nodes.values()) > 2:
            self.nodes[name].alive = False

    @rule(name=nodes)
    def replace_dead(self, name: str) -> None:
        dead = {n.name for n in self.nodes.values() if not n.alive}
        gone = {h for h in self.view.holders() if h.node in dead}
        live = {n.holder for n in self.nodes.values() if n.alive}
        if self.nodes[name].acts:
            self.view = (
                reassign_orphaned_slots(self.view, gone, live) or self.view
            )
            self.nodes[name].learn(self.view, self.time)

    @rule(name=nodes)
    def learn_view(self, name: str) -> None:
        if self.nodes[name].acts:
            self.nodes[name].learn(self.view, self.time)

    @rule(name=nodes, heir=nodes)
    def hand_over(self, name: str, heir: str) -> None:
        """Close the node's slots; move those whose loans have lapsed."""
        node, now = self.nodes[name], self.nodes[name].clock(self.time)
        if not node.acts or name == heir:
            return
        held = self.view.held_by(node.holder)
        lender = node.lender
        lender.closing.update(slot for slot in held if slot in self.slots)
        moves = {
            slot: self.nodes[heir].holder
            for slot in lender.closing
            if slot in held and lender.idle(slot, now)
        }
        if moves:
            self.view = move_slots(self.view, moves)
            node.learn(self.view, self.time)

    @rule(name=nodes, fate=fates)
    def give_back(self, name: str, fate: str) -> None:
        node = self.nodes[name]
        borrower = node.holder
        if not node.acts or not node.ledger.stop_using_shares(
            node.clock(self.time)
        ):
            return
        for rank, slot in enumerate(self.slots):
            share = Share(ENDPOINT, rank, slot)
            self.send(
                self.answer(fate),
                node.view.slots[slot].holder.node,
                lambda to, share=share: to.lender.end_loan(
                    share, borrower, to.clock(self.time)
                ),
            )

    @invariant()
    def the_endpoint_stays_within_its_limit(self) -> None:
        assert len(self.running) <= self.limit, sorted(self.running)
