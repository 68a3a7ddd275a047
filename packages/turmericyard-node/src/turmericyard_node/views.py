"""The stored view at a node: followed, and changed where this node must.

A change is one compare-and-swap. Slots that this node hands over stay closed
until it is certain that an earlier attempt can take effect no more.
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
    move_slots,
    newer_view,
    replace_gone,
    spread_slots,
    succeed,
    surplus_slots,
)
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.members import SMALL_FLEET
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.view_document import decode_view, encode_view
from turmericyard_protocol.messages import ViewReply, ViewRequest

if TYPE_CHECKING:
    from turmericyard_node.application import Application

VIEW_KEY = 'turmericyard/view'
VIEW_SECONDS = 1.0

#: Time for the first nodes to register before the first view, in seconds.
CREATION_SECONDS = 1.0

#: Time for a process that ended to restart and keep its slots, in seconds.
RESTART_SECONDS = 3.0

#: Most slots that a node closes at once for a new node.
MOVED_SLOTS = SLOT_COUNT // 4


@dataclass(frozen=True, slots=True)
class Situation:
    """All that decides whether this node must change the view."""

    epoch: int
    live: frozenset[Holder]
    vms_gone: frozenset[str]
    ended: frozenset[str]
    draining: bool


@dataclass(slots=True)
class ViewService:
    """The newest view known and the lender of this node's slots.

    `unsure` maps slots whose hand-over got no answer to the epoch of the
    view that the attempt would have replaced. `settled` is the situation in
    which no change was found due; it is not looked through again.
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
    unsure: dict[int, int] = field(default_factory=dict)
    settled: Situation | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the known view, 0 for none."""
        return 0 if self.current is None else self.current.epoch

    async def run(self) -> None:
        """Follow and change the view until cancelled."""
        read_at = self.application.clock()
        while True:
            if self.application.draining or self.application.clock() >= read_at:
                await self.step()
                read_at = self.application.clock() + self.read_seconds()
            await sleep_to_tick(VIEW_SECONDS)

    def read_seconds(self) -> float:
        """Return the time until the stored view is read again.

        It grows with the fleet; heartbeats tell of newer views meanwhile.
        """
        members = len(self.application.membership.members)
        return VIEW_SECONDS * max(0, members / SMALL_FLEET - 1)

    async def step(self) -> None:
        """Read the stored view and make the change that is due."""
        store = self.application.membership.store
        found = await store.read(VIEW_KEY)
        if not isinstance(found, Success):
            return
        entry = found.unwrap()
        if entry is None:
            await self.create()
        elif self.knows(entry.revision):
            await self.change()
        elif self.learn(entry.value):
            self.revision = entry.revision
            await self.change()

    def knows(self, revision: int) -> bool:
        """Return whether the newest known view is the stored one."""
        return self.current is not None and revision == self.revision

    async def create(self) -> None:
        """Write the first view with all members that have registered."""
        now = self.application.clock()
        if now - self.started_at < CREATION_SECONDS:
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

    def learn(self, value: bytes) -> bool:
        """Take in a stored value; return whether it is the newest known."""
        heard = decode_view(value)
        if heard is None:
            return False
        newest = newer_view(self.current, heard)
        if newest is heard and newest is not self.current:
            self.current = heard
            self.value = value
            self.apply(heard)
        return newest.epoch == heard.epoch

    def apply(self, view: View) -> None:
        """Hold and drop slots as the view says."""
        now = self.application.clock()
        held = view.held_by(self.holder)
        for lost in set(self.lender.lendable_from).difference(held):
            self.lender.drop(lost)
        for number in held:
            self.lender.hold(number, now, fresh=view.fresh(number))
        self.unsure = {
            slot: epoch
            for slot, epoch in self.unsure.items()
            if epoch >= view.epoch
        }

    async def change(self) -> None:
        """Write the next view when this node must change it."""
        view = self.current
        if view is None:
            return
        situation = self.situation(view)
        if not self.unsure and situation == self.settled:
            return
        following = (
            succeed(view, self.holder)
            or self.replace_gone(view, situation.live)
            or self.hand_over(view, situation.live)
        )
        if following is not None:
            await self.write(following, expected=self.revision)
        elif not self.lender.closing:
            self.settled = situation

    def situation(self, view: View) -> Situation:
        """Return what decides about a change now."""
        return Situation(
            view.epoch,
            self.live_holders(),
            frozenset(self.vms_gone),
            self.ended(),
            self.application.draining,
        )

    def replace_gone(self, view: View, live: frozenset[Holder]) -> View | None:
        """Return the view without holders that certainly act no more.

        Every node sees a VM that is gone, so only the first one acts then.
        The end of a process is seen by the nodes that were linked to it.
        """
        first = min((holder.node for holder in live), default='')
        ended = self.ended()
        gone = {each for each in view.holders() if each.incarnation in ended}
        if first == self.holder.node:
            gone |= {
                each for each in view.holders() if each.vm in self.vms_gone
            }
        return replace_gone(view, gone, live)

    def ended(self) -> frozenset[str]:
        """Return the incarnations that ended and had time to restart."""
        moment = self.application.clock() - RESTART_SECONDS
        return self.application.mesh.endings.ended_before(moment)

    def hand_over(self, view: View, live: frozenset[Holder]) -> View | None:
        """Close slots that others should have; move them once idle."""
        wanted = self.wanted_moves(view, live)
        self.lender.closing = set(wanted).union(self.unsure)
        now = self.application.clock()
        if wanted and all(self.lender.idle(slot, now) for slot in wanted):
            self.unsure.update((slot, view.epoch) for slot in wanted)
            return move_slots(view, wanted)
        return move_slots(view, {}) if self.unsure and not wanted else None

    def wanted_moves(
        self, view: View, live: frozenset[Holder]
    ) -> dict[int, Holder]:
        """Return the slots that this node should give, and to whom."""
        if not self.application.draining:
            return surplus_slots(view, self.holder, live, MOVED_SLOTS)
        heirs = live.difference((self.holder,))
        if not heirs:
            return {}
        return spread_slots(view, view.held_by(self.holder), heirs)

    async def write(self, view: View, *, expected: int) -> None:
        """Replace the stored view; a lost answer leaves slots closed."""
        value = encode_view(view)
        epoch = self.epoch
        written = await self.application.membership.store.write(
            VIEW_KEY, value, expected=expected
        )
        if isinstance(written, Success):
            self.revision = written.unwrap()
            self.learn(value)
        elif not isinstance(written.failure(), StoreAnswerLost):
            self.unsure = {
                slot: tried
                for slot, tried in self.unsure.items()
                if tried != epoch
            }

    def observe_vms(self, listed: Iterable[Vm]) -> None:
        """Note which VMs are certainly gone: listed once, and no more."""
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
            self.learn(found.value)


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
