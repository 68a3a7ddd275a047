"""Loans of shares: owners borrow them from the nodes that hold the slots."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio

from turmericyard_decisions.loan import LOAN_SECONDS, Holder, LoanGranted, Share
from turmericyard_decisions.share import share_slots
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.endpoint_index import EndpointIndex
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_protocol.messages import (
    Acknowledged,
    LentShare,
    LoanReply,
    LoanRequest,
    LoanReturn,
    ShareName,
)
from turmericyard_tables.models import Endpoint, WorkKind

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Interval between checks for loans that are due for renewal, in seconds.
CHECK_INTERVAL_SECONDS = 0.25

#: Age at which a loan is renewed, in seconds.
RENEWAL_AGE_SECONDS = 1.5

ShareNames = tuple[ShareName, ...]


@dataclass(slots=True)
class LoanService:
    """Borrows the shares of owned endpoints and returns all others.

    After a refusal a share is not requested before its `next_request_at`.
    """

    application: 'Application'
    next_request_at: dict[tuple[str, int], float] = field(default_factory=dict)
    index: EndpointIndex = field(init=False)

    def __post_init__(self) -> None:
        """Create an empty index of endpoints."""
        self.index = EndpointIndex(self.application)

    async def run(self) -> None:
        """Renew loans until cancelled."""
        while True:
            await self.return_unowned()
            await self.renew()
            await self.application.permits.notifier.notify_all()
            await sleep_to_tick(CHECK_INTERVAL_SECONDS)

    async def renew(self) -> None:
        """Request the shares that are due from the nodes that hold them."""
        due: defaultdict[str, list[ShareName]] = defaultdict(list)
        for endpoint in self.owned():
            self.collect_due(endpoint, due)
        async with curio.TaskGroup() as group:
            for node, names in due.items():
                await group.spawn(self.borrow, node, tuple(names))

    def owned(self) -> tuple[Endpoint, ...]:
        """Return the owned endpoints, after expiring long calls of services."""
        permits = self.application.permits
        configuration = self.application.configuration.current
        found = self.index.owned()
        for endpoint in found:
            if configuration.pools[endpoint.pool].kind is WorkKind.SERVICE:
                permits.expire_calls(endpoint)
        return found

    def collect_due(
        self, endpoint: Endpoint, due: defaultdict[str, list[ShareName]]
    ) -> None:
        """Add the shares to be requested now, by the node that holds them."""
        view = self.application.permits.views.current
        if view is None:
            return
        now = self.application.clock()
        shares = self.application.permits.ledger(endpoint).shares
        for rank, slot in enumerate(share_slots(endpoint.address)):
            held = shares.get(rank)
            due_until = now - RENEWAL_AGE_SECONDS + LOAN_SECONDS
            request_from = self.next_request_at.get(
                (endpoint.address, rank), now
            )
            if request_from <= now and (
                held is None or held.until <= due_until
            ):
                node = view.slots[slot].holder.node
                due[node].append(ShareName(endpoint.address, rank, slot))

    async def borrow(self, node: str, names: ShareNames) -> None:
        """Request shares from one node and record those that it lends."""
        application = self.application
        sent_at = application.clock()
        request = LoanRequest(application.identity.incarnation, names)
        own = application.identity.node
        if node == own:
            reply: Any = lend(application, request, own)
        else:
            answer = await application.mesh.request(node, request)
            reply = answer.value_or(None)
        lent = set()
        if isinstance(reply, LoanReply):
            lent = record_loans(application, node, reply, sent_at)
        for name in names:
            if (name.endpoint, name.rank) not in lent:
                retry_at = application.clock() + RENEWAL_AGE_SECONDS / 2
                self.next_request_at[name.endpoint, name.rank] = retry_at

    async def return_unowned(self) -> None:
        """Return the shares of endpoints that other nodes own now."""
        application = self.application
        now = application.clock()
        owned = {endpoint.address for endpoint in self.index.owned()}
        for address, ledger in application.permits.ledgers.items():
            held = any(each.until > now for each in ledger.shares.values())
            if held and address not in owned and ledger.stop_using_shares(now):
                await self.send_returns(address)

    async def send_returns(self, address: str) -> None:
        """Notify the lenders of an endpoint's shares that they are returned."""
        view = self.application.permits.views.current
        if view is None:
            return
        by_node: defaultdict[str, list[ShareName]] = defaultdict(list)
        for rank, slot in enumerate(share_slots(address)):
            node = view.slots[slot].holder.node
            by_node[node].append(ShareName(address, rank, slot))
        own = self.application.identity
        for node, names in by_node.items():
            message = LoanReturn(own.incarnation, tuple(names))
            if node == own.node:
                end_loans(self.application, message, own.node)
            else:
                await self.application.mesh.send(node, message)


def record_loans(
    application: 'Application', node: str, reply: LoanReply, sent_at: float
) -> set[tuple[str, int]]:
    """Record lent shares; return their addresses and ranks."""
    permits = application.permits
    endpoints = application.permits.loans.index.by_address()
    lender = Holder(node, reply.incarnation)
    recorded = set()
    for share in reply.shares:
        endpoint = endpoints.get(share.endpoint)
        if endpoint is None:
            continue
        permits.ledger(endpoint).borrow(
            share.rank,
            LoanGranted(lender, share.term, share.fresh),
            sent_at=sent_at,
            received_at=application.clock(),
            loan_seconds=LOAN_SECONDS,
        )
        recorded.add((share.endpoint, share.rank))
    return recorded


def lend(
    application: 'Application', request: LoanRequest, node: str
) -> LoanReply:
    """Lend the requested shares that this node holds and may lend now."""
    now = application.clock()
    views = application.permits.views
    borrower = Holder(node, request.incarnation)
    lent = []
    for name in request.shares:
        share = Share(name.endpoint, name.rank, name.slot)
        answer = views.lender.lend(share, borrower, now)
        if isinstance(answer, LoanGranted):
            lent.append(
                LentShare(name.endpoint, name.rank, answer.term, answer.fresh)
            )
    return LoanReply(views.holder.incarnation, tuple(lent))


def end_loans(
    application: 'Application', message: LoanReturn, node: str
) -> None:
    """End the loans that a borrower returns."""
    now = application.clock()
    borrower = Holder(node, message.incarnation)
    for name in message.shares:
        share = Share(name.endpoint, name.rank, name.slot)
        application.permits.views.lender.end_loan(share, borrower, now)


@handle_message.register(LoanRequest)
async def answer_loan_request(
    message: LoanRequest, sender: str, application: 'Application'
) -> LoanReply:
    """Lend shares to a peer."""
    return lend(application, message, sender)


@handle_message.register(LoanReturn)
async def answer_loan_return(
    message: LoanReturn, sender: str, application: 'Application'
) -> Acknowledged:
    """End the loans that a peer returns."""
    end_loans(application, message, sender)
    return Acknowledged()
