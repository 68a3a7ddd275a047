"""Notifies nodes that were denied a busy endpoint when it is free again."""

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from turmericyard_decisions.waiting_nodes import WaitingNodes
from turmericyard_node.endpoint_state import EndpointState
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_protocol.messages import (
    EndpointFree,
    PermitDenied,
    PermitRequest,
)
from turmericyard_tables.models import Endpoint

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Time after which a denied node requests again, in seconds, in case the notice
#: of free capacity does not reach it.
BUSY_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class CapacityNotifier:
    """Notifies the nodes that wait for endpoints which this node owns."""

    application: 'Application'
    waiters: WaitingNodes[PermitRequest] = field(default_factory=WaitingNodes)

    def deny_until_free(
        self,
        state: EndpointState,
        node: str,
        request: PermitRequest,
        detail: str,
    ) -> PermitDenied:
        """Return a denial to a node that is notified of free capacity."""
        self.waiters.add(state.name, node, request)
        load = state.load(self.application.clock())
        return PermitDenied(state.name, detail, BUSY_RETRY_SECONDS, load)

    def forget(self, endpoint: str, node: str) -> None:
        """Forget a node that got a permit."""
        self.waiters.remove(endpoint, node)

    async def notify_all(self) -> None:
        """Notify the waiting nodes of all owned endpoints."""
        endpoints = self.application.configuration.current.endpoints
        for name in tuple(self.waiters.nodes):
            row = endpoints.get(name)
            if row is not None and self.application.permits.owns(name):
                await self.notify(row)

    async def notify(self, endpoint: Endpoint) -> None:
        """Notify waiting nodes, at most one for each permit that is free."""
        permits = self.application.permits
        now = self.application.clock()
        state = permits.state(endpoint)
        notice = EndpointFree(endpoint.name, state.load(now))
        free = permits.ledger(endpoint).free(now)
        admits = partial(self.admits, state, now)
        for node in self.waiters.pop_ready(endpoint.name, free, admits):
            if node == self.application.identity.node:
                await apply_free(self.application, notice)
            else:
                await self.application.mesh.send(node, notice)

    def admits(
        self, state: EndpointState, now: float, request: PermitRequest
    ) -> bool:
        """Return whether the endpoint's policy would admit a request."""
        route = self.application.configuration.current.routes.get(
            request.product
        )
        if route is None:
            return False
        work = state.forecast_input(request, self.application.policy.lengths)
        return state.deferral_of(work, route, now) is None


@handle_message.register(EndpointFree)
async def answer_free(
    message: EndpointFree, sender: str, application: 'Application'
) -> None:
    """Attempt placement on an endpoint that has free capacity."""
    await apply_free(application, message)


async def apply_free(application: 'Application', notice: EndpointFree) -> None:
    """Record an endpoint's load and attempt the queued work at once."""
    candidates = application.candidates
    candidates.observe_free(notice.endpoint, notice.load, application.clock())
    await application.dispatcher.clear_backoffs()
