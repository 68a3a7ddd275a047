"""Follows the stored view and writes the changes that this node must make.

A change is one compare-and-swap. Slots that this node hands over stay closed
until it is certain that no earlier attempt can still take effect.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from returns.result import Success

from turmericyard_clients.store import StoreAnswerLost
from turmericyard_clients.vm_list import Vm, VmState
from turmericyard_decisions.loan import Holder, Lender
from turmericyard_decisions.share import SLOT_COUNT
from turmericyard_decisions.view import (
    View,
    create_view,
    distribute_slots,
    inherit_slots,
    move_slots,
    newer_view,
    plan_rebalancing,
    reassign_orphaned_slots,
)
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.members import SMALL_FLEET_MEMBERS
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.view_document import decode_view, encode_view
from turmericyard_protocol.messages import ViewReply, ViewRequest

if TYPE_CHECKING:
    from turmericyard_node.application import Application

VIEW_KEY = 'turmericyard/view'
VIEW_INTERVAL_SECONDS = 1.0

#: Time that the first nodes have to register before the first view is
#: written, in seconds.
REGISTRATION_SECONDS = 1.0

#: Time in which a process that ended may restart and keep its slots, in
#: seconds.
RESTART_GRACE_SECONDS = 3.0

#: Maximum number of slots that a node closes at once for a new node.
MAX_MOVED_SLOTS = SLOT_COUNT // 4


@dataclass(frozen=True, slots=True)
class ChangeInputs:
    """The inputs that decide whether this node must change the view.

    `ended` has the incarnations whose time to restart has passed.
    """

    epoch: int
    live: frozenset[Holder]
    vms_gone: frozenset[str]
    ended: frozenset[str]
    draining: bool


@dataclass(slots=True)
class ViewService:
    """The newest view known and the lender of this node's slots.

    `unconfirmed` maps each slot whose hand-over got no answer to the epoch of
    the view that the attempt would have replaced. `unchanged_inputs` are the
    inputs for which no change was due; they are not evaluated again.
    """

    application: 'Application'
    holder: Holder
    lender: Lender
    started_at: float
    current: View | None = None
    value: bytes = b''
    revision: int = 0
    vms_seen: set[str] = field(default_factory=set)
    vms_gone: set[str] = field(default_factory=set)
    unconfirmed: dict[int, int] = field(default_factory=dict)
    unchanged_inputs: ChangeInputs | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the known view, 0 when no view is known."""
        return 0 if self.current is None else self.current.epoch

    async def run(self) -> None:
        """Follow and change the view until cancelled."""
        read_at = self.application.clock()
        while True:
            if self.application.draining or self.application.clock() >= read_at:
                await self.refresh()
                read_at = (
                    self.application.clock() + self.read_interval_seconds()
                )
            await sleep_to_tick(VIEW_INTERVAL_SECONDS)

    def read_interval_seconds(self) -> float:
        """Return the time until the stored view is read again.

        It grows with the fleet; heartbeats announce newer views meanwhile.
        """
        members = len(self.application.membership.members)
        return VIEW_INTERVAL_SECONDS * max(0, members / SMALL_FLEET_MEMBERS - 1)

    async def refresh(self) -> None:
        """Read the stored view and write the change that is due."""
        store = self.application.membership.store
        found = await store.read(VIEW_KEY)
        if not isinstance(found, Success):
            return
        entry = found.unwrap()
        if entry is None:
            await self.create()
        elif self.is_current(entry.revision):
            await self.change_if_due()
        elif self.adopt(entry.value):
            self.revision = entry.revision
            await self.change_if_due()

    def is_current(self, revision: int) -> bool:
        """Return whether the known view has the stored revision."""
        return self.current is not None and revision == self.revision

    async def create(self) -> None:
        """Write the first view with all members that have registered."""
        now = self.application.clock()
        if now - self.started_at < REGISTRATION_SECONDS:
            return
        await self.application.membership.refresh()
        await self.write(create_view(self.live_holders()), expected=0)

    def live_holders(self) -> frozenset[Holder]:
        """Return the live members, this node included."""
        application = self.application
        return frozenset(
            Holder(member.node, member.incarnation, member.vm)
            for member in application.membership.live(application.clock())
        )

    def adopt(self, value: bytes) -> bool:
        """Adopt a stored value if it is newer; return whether it is current."""
        received = decode_view(value)
        if received is None:
            return False
        newest = newer_view(self.current, received)
        if newest is received and newest is not self.current:
            self.current = received
            self.value = value
            self.apply(received)
        return newest.epoch == received.epoch

    def apply(self, view: View) -> None:
        """Make the lender hold exactly the slots that the view assigns."""
        now = self.application.clock()
        held = view.held_by(self.holder)
        for lost in set(self.lender.lendable_from).difference(held):
            self.lender.drop(lost)
        for number in held:
            self.lender.hold(number, now, fresh=view.never_moved(number))
        self.unconfirmed = {
            slot: epoch
            for slot, epoch in self.unconfirmed.items()
            if epoch >= view.epoch
        }

    async def change_if_due(self) -> None:
        """Write a new view when this node must change the known one."""
        view = self.current
        if view is None:
            return
        inputs = self.change_inputs(view)
        if not self.unconfirmed and inputs == self.unchanged_inputs:
            return
        next_view = (
            inherit_slots(view, self.holder)
            or self.reassign_orphaned_slots(view, inputs.live)
            or self.hand_over(view, inputs.live)
        )
        if next_view is not None:
            await self.write(next_view, expected=self.revision)
        elif not self.lender.closing:
            self.unchanged_inputs = inputs

    def change_inputs(self, view: View) -> ChangeInputs:
        """Return the current inputs of the decision about a change."""
        return ChangeInputs(
            view.epoch,
            self.live_holders(),
            frozenset(self.vms_gone),
            self.ended_incarnations(),
            self.application.draining,
        )

    def reassign_orphaned_slots(
        self, view: View, live: frozenset[Holder]
    ) -> View | None:
        """Return the view without holders that certainly no longer run.

        Every node sees that a VM is gone, so only the node whose name sorts
        first replaces its holders. Only the nodes that had a link to a process
        see that it ended, so each of them replaces that holder.
        """
        first = min((holder.node for holder in live), default='')
        ended = self.ended_incarnations()
        gone = {each for each in view.holders() if each.incarnation in ended}
        if first == self.holder.node:
            gone |= {
                each for each in view.holders() if each.vm in self.vms_gone
            }
        return reassign_orphaned_slots(view, gone, live)

    def ended_incarnations(self) -> frozenset[str]:
        """Return the incarnations whose time to restart has passed."""
        moment = self.application.clock() - RESTART_GRACE_SECONDS
        return self.application.mesh.exit_detector.exited_before(moment)

    def hand_over(self, view: View, live: frozenset[Holder]) -> View | None:
        """Close the slots due to other nodes; move them once they are idle."""
        moves = self.due_moves(view, live)
        self.lender.closing = set(moves).union(self.unconfirmed)
        now = self.application.clock()
        if moves and all(self.lender.idle(slot, now) for slot in moves):
            self.unconfirmed.update((slot, view.epoch) for slot in moves)
            return move_slots(view, moves)
        return move_slots(view, {}) if self.unconfirmed and not moves else None

    def due_moves(
        self, view: View, live: frozenset[Holder]
    ) -> dict[int, Holder]:
        """Return the new holder of each slot that this node must hand over."""
        if not self.application.draining:
            return plan_rebalancing(view, self.holder, live, MAX_MOVED_SLOTS)
        successors = live.difference((self.holder,))
        if not successors:
            return {}
        return distribute_slots(view, view.held_by(self.holder), successors)

    async def write(self, view: View, *, expected: int) -> None:
        """Replace the stored view; slots stay closed if the answer is lost."""
        value = encode_view(view)
        epoch = self.epoch
        written = await self.application.membership.store.write(
            VIEW_KEY, value, expected=expected
        )
        if isinstance(written, Success):
            self.revision = written.unwrap()
            self.adopt(value)
        elif not isinstance(written.failure(), StoreAnswerLost):
            self.unconfirmed = {
                slot: attempt_epoch
                for slot, attempt_epoch in self.unconfirmed.items()
                if attempt_epoch != epoch
            }

    def observe_vms(self, listed: Iterable[Vm]) -> None:
        """Record which VMs are certainly gone: listed before, but not now."""
        present = {vm.name for vm in listed if vm.state is not VmState.GONE}
        self.vms_seen |= present
        self.vms_gone = self.vms_seen.difference(present)

    async def fetch(self, node: str) -> None:
        """Ask a peer for its newer view."""
        reply = await self.application.mesh.request(
            node, ViewRequest(self.epoch)
        )
        found = reply.value_or(None)
        if isinstance(found, ViewReply) and found.value:
            self.adopt(found.value)


def create_view_service(application: 'Application') -> ViewService:
    """Return the view service of a node that knows no view yet."""
    own = application.membership.own
    holder = Holder(own.node, own.incarnation, own.vm)
    return ViewService(application, holder, Lender(holder), application.clock())


@handle_message.register(ViewRequest)
async def answer_view(
    message: ViewRequest, sender: str, application: 'Application'
) -> ViewReply:
    """Return the view when it is newer than the peer's."""
    newer = application.permits.views.epoch > message.epoch
    return ViewReply(application.permits.views.value if newer else b'')
