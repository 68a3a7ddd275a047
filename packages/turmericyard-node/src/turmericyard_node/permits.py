"""Permits: the owner node of each endpoint counts the work on it.

The owner is the first live holder of the endpoint's shares. It grants while
the shares that are lent to it allow and its policy admits the work.
"""

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from turmericyard_clients.engine_reports import EngineLoad
from turmericyard_decisions.loan import CLOCK_RATE_MARGIN
from turmericyard_decisions.permit import (
    LoadReport,
    PermitLedger,
    PermitRefused,
)
from turmericyard_decisions.share import share_slots
from turmericyard_decisions.view import owner_of
from turmericyard_decisions.warmth import ColdSign
from turmericyard_node.endpoint_state import (
    EndpointState,
    create_endpoint_state,
)
from turmericyard_node.loans import LoanService
from turmericyard_node.paces import PaceService
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.permit_answers import (
    PermitAnswer,
    deny,
    unused_release,
)
from turmericyard_node.views import ViewService, create_view_service
from turmericyard_node.waiting import WaitingService
from turmericyard_protocol.messages import (
    PermitDenied,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)
from turmericyard_tables.models import (
    Configuration,
    Endpoint,
    WorkKind,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Time for which the set of live nodes is kept.
LIVE_SECONDS = 0.1

#: Call timeouts after which a service runs a call no more.
CALL_TIMEOUTS = 2


@dataclass(slots=True)
class PermitService:
    """Grants permits for owned endpoints and asks owners for others.

    `asked` and `granted` count requests to other nodes: their ratio is the
    round trips that a permit takes.
    """

    application: 'Application'
    views: ViewService
    loans: LoanService
    paces: PaceService
    waiting: WaitingService
    states: dict[str, EndpointState] = field(default_factory=dict)
    ledgers: dict[str, PermitLedger] = field(default_factory=dict)
    granted_by: dict[str, str] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)
    live: set[str] = field(default_factory=set)
    live_at: float = float('-inf')
    asked: int = 0
    granted: int = 0

    def owner(self, endpoint: str) -> str:
        """Return the node that owns the endpoint, as this node sees it.

        Empty when no live node holds a share of it.
        """
        application = self.application
        row = application.configuration.current.endpoints.get(endpoint)
        view = self.views.current
        if row is None or view is None:
            return ''
        return owner_of(view, share_slots(row.address), self.live_names()) or ''

    def live_names(self) -> set[str]:
        """Return the live nodes, found anew after a short time.

        Liveness only steers, and owners are looked up for every endpoint.
        """
        now = self.application.clock()
        if now - self.live_at > LIVE_SECONDS:
            live = self.application.membership.live(now)
            self.live = {member.node for member in live}
            self.live_at = now
        return self.live

    def owns(self, endpoint: str) -> bool:
        """Return whether this node owns the endpoint."""
        return self.owner(endpoint) == self.application.identity.node

    async def acquire(self, request: PermitRequest) -> PermitAnswer:
        """Return a permit or the denial of the endpoint's owner."""
        owner = self.owner(request.endpoint)
        if not owner:
            return deny(request.endpoint, 'no live node holds a share of it')
        self.granted_by[request.work] = owner
        if owner == self.application.identity.node:
            found: Any = self.grant(request, owner)
        else:
            self.asked += 1
            reply = await self.application.mesh.request(owner, request)
            found = reply.value_or(None)
            self.granted += isinstance(found, PermitGrant)
        if isinstance(found, PermitGrant):
            return found
        if isinstance(found, PermitDenied):
            self.granted_by.pop(request.work)
            return found
        await self.release(unused_release(request))
        return deny(request.endpoint, f'owner {owner} gave no answer')

    async def release(self, release: PermitRelease) -> None:
        """Tell the owner that granted the permit that the work has ended."""
        owner = self.granted_by.pop(release.work, '')
        owner = owner or self.owner(release.endpoint)
        if owner == self.application.identity.node:
            await self.settle(release)
        else:
            await self.application.mesh.send(owner, release)

    def state(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an owned endpoint."""
        found = self.states.get(endpoint.name)
        if found is None:
            pools = self.application.configuration.current.pools
            found = create_endpoint_state(endpoint.name, pools[endpoint.pool])
            found.pool = partial(self.pool_of, endpoint.address)
            self.states[endpoint.name] = found
        return found

    def ledger(self, endpoint: Endpoint) -> PermitLedger:
        """Return the count of the work at an owned endpoint."""
        found = self.ledgers.get(endpoint.address)
        if found is None:
            bound = self.state(endpoint).bound(self.application.clock())
            found = PermitLedger(bound)
            self.ledgers[endpoint.address] = found
        return found

    def pool_of(self, address: str, now: float, bound: int) -> int:
        """Return how much work the borrowed shares allow under a bound."""
        ledger = self.ledgers.get(address)
        return bound if ledger is None else ledger.pool_of(now, bound)

    async def observe_configuration(self, configuration: Configuration) -> None:
        """Take endpoints that come back into service to be cold."""
        out = {
            endpoint.name
            for endpoint in configuration.endpoints.values()
            if not configuration.in_service(endpoint)
        }
        for name in self.states.keys() & (self.out - out):
            self.states[name].fall(ColdSign.RETURNED)
        self.out = out

    def observe_load(
        self, endpoint: Endpoint, load: EngineLoad, asked_at: float
    ) -> None:
        """Compare the count with what an engine lists."""
        age = load.age_seconds * (1 + CLOCK_RATE_MARGIN)
        report = LoadReport(asked_at - age, frozenset(load.generations))
        self.ledger(endpoint).observe(report, self.application.clock())

    def expire_calls(self, endpoint: Endpoint) -> None:
        """Count calls of a service as ended after the longest duration."""
        now = self.application.clock()
        timeout = self.application.settings.timing.call_timeout_seconds
        ended = LoadReport(now - CALL_TIMEOUTS * timeout, frozenset())
        self.ledger(endpoint).observe(ended, now)

    def obstacle(
        self, request: PermitRequest, endpoint: Endpoint
    ) -> str | None:
        """Return what keeps a request from an endpoint, however idle."""
        application = self.application
        state = self.state(endpoint)
        if not application.configuration.current.in_service(endpoint):
            return 'out of service'
        if state.leaving or endpoint.vm in application.candidates.leaving_vms:
            return 'it is leaving'
        marks = frozenset(request.marks)
        running = state.marks.values()
        if not application.policy.quarantine.may_join(marks, running):
            return 'a request that died with this one runs there'
        return None

    def grant(self, request: PermitRequest, node: str) -> PermitAnswer:
        """Decide on a node's permit for an owned endpoint."""
        application = self.application
        configuration = application.configuration.current
        endpoint = configuration.endpoints.get(request.endpoint)
        route = configuration.routes.get(request.product)
        if endpoint is None or route is None:
            return deny(request.endpoint, 'not in the tables')
        now = application.clock()
        state = self.state(endpoint)
        obstacle = self.obstacle(request, endpoint)
        if obstacle is not None:
            return deny(request.endpoint, obstacle, state.load(now))
        work = state.running_of(request, application.policy.lengths)
        deferral = state.defer(work, route, now)
        if deferral is not None:
            return self.waiting.refuse(state, node, request, deferral.value)
        ledger = self.ledger(endpoint)
        ledger.bound = state.bound(now)
        answer = ledger.request(request.work, node, now)
        if isinstance(answer, PermitRefused):
            return self.waiting.refuse(state, node, request, answer.detail)
        state.admit(request, work, now)
        self.waiting.granted(endpoint.name, node)
        return PermitGrant(
            endpoint.name,
            request.work,
            answer.validity_seconds,
            state.load(now),
        )

    async def settle(self, release: PermitRelease) -> None:
        """Count the end of work on an owned endpoint."""
        state = self.states.get(release.endpoint)
        if state is None:
            return
        now = self.application.clock()
        state.settle(release, now)
        row = self.application.configuration.current.endpoints.get(
            release.endpoint
        )
        if row is not None and release.certain:
            self.ledger(row).release(release.work, now)
        if release.healthy and self.is_generation(release.product):
            self.application.policy.lengths.observe(
                release.product, release.workspace, release.tokens
            )
        if row is not None:
            await self.waiting.tell(row)

    def is_generation(self, product: str) -> bool:
        """Return whether the product's work produces tokens."""
        route = self.application.configuration.current.routes.get(product)
        return route is not None and route.kind is WorkKind.GENERATION


def create_permit_service(application: 'Application') -> PermitService:
    """Return the permit service of a node, with its view and its loans."""
    return PermitService(
        application,
        create_view_service(application),
        LoanService(application),
        PaceService(application),
        WaitingService(application),
    )


@handle_message.register(PermitRequest)
async def answer_permit_request(
    message: PermitRequest, sender: str, application: 'Application'
) -> PermitAnswer:
    """Grant or deny a permit that a peer asks for."""
    if not application.permits.owns(message.endpoint):
        return deny(message.endpoint, 'asked node is not the owner')
    return application.permits.grant(message, sender)


@handle_message.register(PermitRelease)
async def answer_permit_release(
    message: PermitRelease, sender: str, application: 'Application'
) -> None:
    """Count the end of a peer's work."""
    await application.permits.settle(message)
