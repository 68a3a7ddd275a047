"""Permits: the owner node of each endpoint counts the work on it.

The owner is the first live holder of the endpoint's shares. It grants a permit
when the shares that are lent to it allow one and its policy admits the work.
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
from turmericyard_decisions.view import find_owner
from turmericyard_decisions.warmth import ColdSign
from turmericyard_node.capacity_notices import CapacityNotifier
from turmericyard_node.endpoint_state import (
    EndpointState,
    create_endpoint_state,
)
from turmericyard_node.loans import LoanService
from turmericyard_node.paces import PaceSampler
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.permit_answers import (
    PermitAnswer,
    deny,
    unused_release,
)
from turmericyard_node.views import ViewService, create_view_service
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

#: Time for which the set of live nodes is cached.
LIVE_NODES_TTL_SECONDS = 0.1

#: Number of call timeouts after which a call is taken to have ended.
CALL_END_TIMEOUTS = 2


@dataclass(slots=True)
class PermitService:
    """Grants permits for owned endpoints and requests those of others.

    `asked` counts the permits that were requested from other nodes, `granted`
    those that they granted: `asked` divided by `granted` is the number of round
    trips for each permit. `owner_by_work` has the owner that was asked for a
    permit, by work id. `out_of_service` has the names of the endpoints that the
    configuration takes out of service. `live` has the names of the live nodes
    at `live_at`, in seconds of the boot clock.
    """

    application: 'Application'
    views: ViewService
    loans: LoanService
    paces: PaceSampler
    notifier: CapacityNotifier
    endpoint_states: dict[str, EndpointState] = field(default_factory=dict)
    ledgers: dict[str, PermitLedger] = field(default_factory=dict)
    owner_by_work: dict[str, str] = field(default_factory=dict)
    out_of_service: set[str] = field(default_factory=set)
    live: set[str] = field(default_factory=set)
    live_at: float = float('-inf')
    asked: int = 0
    granted: int = 0

    def owner(self, endpoint: str) -> str:
        """Return the node that owns the endpoint in this node's view.

        It is empty when no live node holds a share of the endpoint.
        """
        application = self.application
        row = application.configuration.current.endpoints.get(endpoint)
        view = self.views.current
        if row is None or view is None:
            return ''
        return (
            find_owner(view, share_slots(row.address), self.live_nodes()) or ''
        )

    def live_nodes(self) -> set[str]:
        """Return the names of the live nodes, cached for a short time.

        They may be slightly out of date, since liveness decides only who is
        asked, not what is granted. Owners are looked up for every endpoint.
        """
        now = self.application.clock()
        if now - self.live_at > LIVE_NODES_TTL_SECONDS:
            live = self.application.membership.live(now)
            self.live = {member.node for member in live}
            self.live_at = now
        return self.live

    def owns(self, endpoint: str) -> bool:
        """Return whether this node owns the endpoint."""
        return self.owner(endpoint) == self.application.identity.node

    async def acquire(self, request: PermitRequest) -> PermitAnswer:
        """Return the answer of the endpoint's owner, or a denial without one."""
        owner = self.owner(request.endpoint)
        if not owner:
            return deny(
                request.endpoint, 'no live node holds a share of the endpoint'
            )
        self.owner_by_work[request.work] = owner
        if owner == self.application.identity.node:
            found: Any = self.decide(request, owner)
        else:
            self.asked += 1
            reply = await self.application.mesh.request(owner, request)
            found = reply.value_or(None)
            self.granted += isinstance(found, PermitGrant)
        if isinstance(found, PermitGrant):
            return found
        if isinstance(found, PermitDenied):
            self.owner_by_work.pop(request.work)
            return found
        await self.release(unused_release(request))
        return deny(request.endpoint, f'owner {owner} did not answer')

    async def release(self, release: PermitRelease) -> None:
        """Report the end of the work to the owner that granted its permit."""
        owner = self.owner_by_work.pop(release.work, '')
        owner = owner or self.owner(release.endpoint)
        if owner == self.application.identity.node:
            await self.settle(release)
        else:
            await self.application.mesh.send(owner, release)

    def state(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an owned endpoint."""
        found = self.endpoint_states.get(endpoint.name)
        if found is None:
            pools = self.application.configuration.current.pools
            found = create_endpoint_state(endpoint.name, pools[endpoint.pool])
            found.allowance = partial(self.share_allowance, endpoint.address)
            self.endpoint_states[endpoint.name] = found
        return found

    def ledger(self, endpoint: Endpoint) -> PermitLedger:
        """Return the ledger of the permits of an owned endpoint."""
        found = self.ledgers.get(endpoint.address)
        if found is None:
            bound = self.state(endpoint).bound(self.application.clock())
            found = PermitLedger(bound)
            self.ledgers[endpoint.address] = found
        return found

    def share_allowance(self, address: str, now: float, bound: int) -> int:
        """Return how many requests the borrowed shares allow under a bound."""
        ledger = self.ledgers.get(address)
        return (
            bound
            if ledger is None
            else ledger.permitted_capacity_for(now, bound)
        )

    async def observe_configuration(self, configuration: Configuration) -> None:
        """Mark endpoints that return to service as cold."""
        endpoints_out = {
            endpoint.name
            for endpoint in configuration.endpoints.values()
            if not configuration.in_service(endpoint)
        }
        for name in self.endpoint_states.keys() & (
            self.out_of_service - endpoints_out
        ):
            self.endpoint_states[name].mark_cold(ColdSign.RETURNED)
        self.out_of_service = endpoints_out

    def observe_load(
        self, endpoint: Endpoint, load: EngineLoad, asked_at: float
    ) -> None:
        """Reconcile the ledger with the generations that an engine lists."""
        age = load.age_seconds * (1 + CLOCK_RATE_MARGIN)
        report = LoadReport(asked_at - age, frozenset(load.generations))
        self.ledger(endpoint).observe(report, self.application.clock())

    def expire_calls(self, endpoint: Endpoint) -> None:
        """Count calls of a service as ended after their longest duration."""
        now = self.application.clock()
        timeout = self.application.settings.timing.call_timeout_seconds
        ended = LoadReport(now - CALL_END_TIMEOUTS * timeout, frozenset())
        self.ledger(endpoint).observe(ended, now)

    def denial_reason(
        self, request: PermitRequest, endpoint: Endpoint
    ) -> str | None:
        """Return why an endpoint may not run a request, None if it may.

        The load of the endpoint is not considered.
        """
        application = self.application
        state = self.state(endpoint)
        if not application.configuration.current.in_service(endpoint):
            return 'out of service'
        if state.leaving or endpoint.vm in application.candidates.leaving_vms:
            return 'the endpoint is leaving'
        marks = frozenset(request.marks)
        running = state.marks.values()
        if not application.policy.quarantine.may_run_beside(marks, running):
            return 'a request that died with this one runs there'
        return None

    def decide(self, request: PermitRequest, node: str) -> PermitAnswer:
        """Grant or deny a node's request for a permit of an owned endpoint."""
        application = self.application
        configuration = application.configuration.current
        endpoint = configuration.endpoints.get(request.endpoint)
        route = configuration.routes.get(request.product)
        if endpoint is None or route is None:
            return deny(
                request.endpoint, 'endpoint or product not in the tables'
            )
        now = application.clock()
        state = self.state(endpoint)
        denial_reason = self.denial_reason(request, endpoint)
        if denial_reason is not None:
            return deny(request.endpoint, denial_reason, state.load(now))
        work = state.forecast_input(request, application.policy.lengths)
        deferral = state.deferral_of(work, route, now)
        if deferral is not None:
            return self.notifier.deny_until_free(
                state, node, request, deferral.value
            )
        ledger = self.ledger(endpoint)
        ledger.bound = state.bound(now)
        answer = ledger.request(request.work, node, now)
        if isinstance(answer, PermitRefused):
            return self.notifier.deny_until_free(
                state, node, request, answer.detail
            )
        state.admit(request, work, now)
        self.notifier.forget(endpoint.name, node)
        return PermitGrant(
            endpoint.name,
            request.work,
            answer.validity_seconds,
            state.load(now),
        )

    async def settle(self, release: PermitRelease) -> None:
        """Count the end of work on an owned endpoint."""
        state = self.endpoint_states.get(release.endpoint)
        if state is None:
            return
        now = self.application.clock()
        state.settle(release, now)
        row = self.application.configuration.current.endpoints.get(
            release.endpoint
        )
        if row is not None and release.certain:
            self.ledger(row).release(release.work, now)
        if release.healthy and self.produces_tokens(release.product):
            self.application.policy.lengths.observe(
                release.product, release.workspace, release.tokens
            )
        if row is not None:
            await self.notifier.notify(row)

    def produces_tokens(self, product: str) -> bool:
        """Return whether the product's work produces tokens."""
        route = self.application.configuration.current.routes.get(product)
        return route is not None and route.kind is WorkKind.GENERATION


def create_permit_service(application: 'Application') -> PermitService:
    """Return the permit service of a node, with the services it needs."""
    return PermitService(
        application,
        create_view_service(application),
        LoanService(application),
        PaceSampler(application),
        CapacityNotifier(application),
    )


@handle_message.register(PermitRequest)
async def answer_permit_request(
    message: PermitRequest, sender: str, application: 'Application'
) -> PermitAnswer:
    """Grant or deny a permit that a peer requests."""
    if not application.permits.owns(message.endpoint):
        return deny(
            message.endpoint, 'the asked node does not own the endpoint'
        )
    return application.permits.decide(message, sender)


@handle_message.register(PermitRelease)
async def answer_permit_release(
    message: PermitRelease, sender: str, application: 'Application'
) -> None:
    """Count the end of a peer's work."""
    await application.permits.settle(message)
