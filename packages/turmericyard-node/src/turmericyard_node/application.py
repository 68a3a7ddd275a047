"""The application: owns the parts of a node and its life cycle."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

from turmericyard_clients.http_store import open_http_store
from turmericyard_clients.vm_list import VmList, open_vm_list
from turmericyard_decisions.quarantine import Verdict
from turmericyard_http.clock import Clock, boot_seconds, wall_seconds
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.abandoned_generations import AbandonedGenerations
from turmericyard_node.callers.answers import Outcome
from turmericyard_node.callers.relay import Relay
from turmericyard_node.candidates import CandidateTable
from turmericyard_node.claims import ClaimService
from turmericyard_node.configuration import ConfigurationService
from turmericyard_node.contact import ContactTimes
from turmericyard_node.dispatcher import Dispatcher
from turmericyard_node.endpoint_clients import EndpointClients
from turmericyard_node.events import Event, log_event
from turmericyard_node.members import LIVE, Member, Membership
from turmericyard_node.metrics import Metrics, create_metrics
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_node.permits import PermitService, create_permit_service
from turmericyard_node.request_policy import RequestPolicy
from turmericyard_node.settings import NodeSettings, parse_seeds
from turmericyard_node.trace import RequestTraces
from turmericyard_node.work import PlacedEndpoint, Work
from turmericyard_protocol.messages import PermitRelease

Hook = Callable[['Application'], Awaitable[None]]


@dataclass(slots=True)
class Application:
    """One node. `on_start` hooks run in order, `on_stop` in reverse.

    A node that is `draining` still accepts work, but no longer lists its
    address; once it is `closed`, it refuses new work.
    """

    settings: NodeSettings
    identity: Identity
    operator_token: bytes
    clock: Clock
    vm_list: VmList | None
    contact: ContactTimes
    configuration: ConfigurationService
    membership: Membership
    claims: ClaimService
    traces: RequestTraces
    metrics: Metrics
    policy: RequestPolicy = field(default_factory=RequestPolicy)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    clients: EndpointClients = field(default_factory=EndpointClients)
    streams: set[Relay] = field(default_factory=set)
    on_start: list[Hook] = field(default_factory=list)
    on_stop: list[Hook] = field(default_factory=list)
    draining: bool = False
    closed: bool = False
    open_requests: int = 0
    request_count: int = 0
    tokens_relayed: int = 0
    mesh: PeerMesh = field(init=False)
    permits: PermitService = field(init=False)
    candidates: CandidateTable = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    abandoned_generations: AbandonedGenerations = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that refer to the application."""
        self.mesh = PeerMesh(
            self.identity,
            self.receive,
            self.settings.node.peer_source,
            detects_exits=True,
        )
        self.permits = create_permit_service(self)
        self.candidates = CandidateTable(self)
        self.dispatcher = Dispatcher(self, self.candidates)
        self.abandoned_generations = AbandonedGenerations(self)
        self.configuration.subscribers.extend(
            (
                self.candidates.observe_configuration,
                self.permits.observe_configuration,
                self.policy.observe_configuration,
            )
        )

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self.on_start:
            await hook(self)
        log_event(
            Event.NODE_STARTED,
            node=self.identity.node,
            incarnation=self.identity.incarnation,
        )

    async def stop(self) -> None:
        """Run the stop hooks in reverse order, then cancel all tasks."""
        for hook in reversed(self.on_stop):
            await hook(self)
        await self.tasks.cancel_all()
        await self.mesh.close()
        log_event(Event.NODE_STOPPED, node=self.identity.node)

    async def receive(self, payload: Any, sender: str) -> Any:
        """Return the reply to a peer's message."""
        return await handle_message(payload, sender, self)

    def refusal_kind(self) -> str | None:
        """Return why the node refuses new work, None when it accepts it."""
        if self.closed:
            return 'draining'
        if self.contact.is_isolated(self.clock()):
            return 'isolated'
        if self.configuration.current.revision == 0:
            return 'starting'
        return None

    def peer_addresses(self) -> dict[str, str]:
        """Return the addresses of peers by node name.

        An address from the store replaces that of the settings.
        """
        by_node = parse_seeds(self.settings.peers.seeds)
        for member in self.membership.members.values():
            by_node[member.node] = member.peer_address
        self.mesh.addresses = by_node
        return by_node

    def count(self, product: str, outcome: Outcome) -> None:
        """Count the outcome of one request."""
        self.metrics.requests.add(
            1, {'product': product, 'outcome': outcome.value}
        )

    def quarantine_verdict(self, work: Work) -> Verdict:
        """Return whether work may run, given the crashes it was involved in."""
        return self.policy.quarantine_verdict(work, self.configuration.current)

    async def release_unused_permit(
        self, work: Work, placed: PlacedEndpoint, *, certain: bool = True
    ) -> None:
        """Release a permit whose work gave no result.

        `certain` says that the endpoint runs nothing under the permit.
        """
        await self.permits.release(
            PermitRelease(
                placed.endpoint.name,
                placed.grant.work,
                work.route.product,
                work.workspace,
                healthy=False,
                certain=certain,
            )
        )

    async def release_failed_permit(
        self,
        work: Work,
        placed: PlacedEndpoint,
        detail: str,
        *,
        certain: bool = False,
    ) -> None:
        """Release the permit of a failed attempt and exclude its endpoint.

        `certain` says that the endpoint runs nothing of the attempt.
        """
        work.excluded_endpoints.add(placed.endpoint.name)
        self.traces.add(
            work.request,
            'attempt-failed',
            endpoint=placed.endpoint.name,
            detail=detail,
        )
        await self.release_unused_permit(work, placed, certain=certain)

    async def broadcast(self, payload: Any) -> None:
        """Send a notice to all other live members."""
        now = self.clock()
        for member in self.membership.live(now):
            if member.node != self.identity.node:
                await self.mesh.send(member.node, payload)


def create_application(
    settings: NodeSettings, cluster_secret: bytes, operator_token: bytes
) -> Application:
    """Return the application for valid settings, not yet started."""
    node = settings.node
    timing = settings.timing
    incarnation = uuid4().hex
    store = open_http_store(settings.platform.store)
    contact = ContactTimes(
        timing.isolation_seconds, boot_seconds(), timing.isolation_seconds
    )
    vm_list = settings.platform.vm_list
    own_record = Member(
        node.name,
        incarnation,
        node.zone,
        node.vm,
        node.effective_peer_address,
        node.caller_address,
        node.operator_address,
        LIVE,
    )
    membership = Membership(
        own_record, store, contact, boot_seconds, timing.member_ttl_seconds
    )
    membership.members[own_record.node] = own_record
    return Application(
        settings,
        Identity(node.name, incarnation, cluster_secret),
        operator_token,
        boot_seconds,
        open_vm_list(vm_list) if vm_list else None,
        contact,
        ConfigurationService(
            store,
            contact,
            boot_seconds,
            lambda: len(membership.members),
        ),
        membership,
        ClaimService(store, boot_seconds, timing.claim_validity_seconds),
        RequestTraces(node.name, wall_seconds, settings.limits.traced_requests),
        create_metrics(node.name),
    )
