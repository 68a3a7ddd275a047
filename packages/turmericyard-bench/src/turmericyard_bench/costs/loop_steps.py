"""Measures the processor time of a node's loops at the target size.

A fleet of that size does not fit on one machine. Instead, the application of
one node is built in this process with tables and members of the target size,
and the steps of its loops are timed. Stubs answer for the peers and the VM
list. The figures exclude sending and receiving, which the measurements of
running fleets include.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio
import orjson
from returns.result import Failure, Result, Success

from turmericyard_bench.costs.tables import (
    TableSize,
    pools_table,
    routes_table,
)
from turmericyard_bench.launch import LOOPBACK
from turmericyard_clients.vm_list import HttpVmList, Vm
from turmericyard_decisions.liveness import FANOUT
from turmericyard_decisions.view import create_view
from turmericyard_http.messages import Response
from turmericyard_node.application import Application, create_application
from turmericyard_node.heartbeats import create_heartbeat
from turmericyard_node.members import Member
from turmericyard_node.orders import OrderService, create_order_service
from turmericyard_node.polling import owned_engines, poll_vms
from turmericyard_node.settings import (
    NodeSection,
    NodeSettings,
    PeersSection,
    PlatformSection,
    SecretsSection,
)
from turmericyard_protocol.errors import PeerUnreachable
from turmericyard_protocol.messages import LentShare, LoanReply, LoanRequest
from turmericyard_tables.build import build_configuration
from turmericyard_tables.ini import parse_tables

NODES = 330
ENGINES = 1600
SERVICES = 40
WORKSPACES = 940
TABLE = TableSize(ENGINES, services=SERVICES, workspaces=WORKSPACES)
VMS = NODES + ENGINES
OK = 200
REPEATS = 20
MICROSECONDS_PER_SECOND = 1_000_000
#: Time after its last contact for which a peer counts as live at that size,
#: rounded.
PEER_TIMEOUT_SECONDS = 40.0
#: Pause between steps: loops that run only occasionally find cold caches.
PAUSE_SECONDS = 0.02
INCARNATION = 'i'
ZONE = 'zone-0'
SEED_ADDRESS = f'{LOOPBACK}:7000'
SETTINGS = NodeSettings(
    node=NodeSection(
        name='node-0',
        zone=ZONE,
        vm='vm-0',
        caller_address=f'{LOOPBACK}:7001',
        peer_address=f'{LOOPBACK}:7002',
        operator_address=f'{LOOPBACK}:7003',
    ),
    platform=PlatformSection(store=f'{LOOPBACK}:7004'),
    secrets=SecretsSection(
        cluster_file=Path('unused'), operator_token_file=Path('unused')
    ),
    peers=PeersSection(
        seeds=', '.join(
            f'node-{number}@{SEED_ADDRESS}' for number in range(1, NODES)
        )
    ),
)
Step = Callable[[], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class LoopStep:
    """One step of a loop: its mean processor time and how often it runs."""

    name: str
    seconds: float
    times_a_second: float

    @property
    def cpu_share(self) -> float:
        """Return the share of one core."""
        return self.seconds * self.times_a_second


@dataclass(slots=True)
class StubMesh:
    """Stub of the mesh: each peer lends every requested share."""

    addresses: dict[str, str] = field(default_factory=dict)

    async def request(
        self, node: str, payload: Any
    ) -> Result[LoanReply, PeerUnreachable]:
        """Grant a request for loans; any other request fails."""
        if not isinstance(payload, LoanRequest):
            return Failure(PeerUnreachable(node))
        lent = tuple(
            LentShare(share.endpoint, share.rank, 1, fresh=False)
            for share in payload.shares
        )
        return Success(LoanReply(INCARNATION, lent))


@dataclass(frozen=True, slots=True)
class StubVmListClient:
    """Stub of the HTTP client of the VM list: every answer has `body`."""

    body: bytes

    async def request(
        self, _method: str, _target: str, **_options: Any
    ) -> Result[Response, Any]:
        """Answer with a new copy of the body."""
        return Success(Response(OK, {}, bytes(bytearray(self.body))))


@dataclass(slots=True)
class TargetNode:
    """A node of a fleet of the target size, in this process."""

    application: Application
    vm_list: HttpVmList
    orders: OrderService
    known: tuple[Vm, ...] = ()

    async def measure(self) -> list[LoopStep]:
        """Measure each step of the node's loops."""
        steps: tuple[tuple[str, float, Step], ...] = (
            ('loans of shares', 4, self.renew_loans),
            ('owned engines', 2, self.find_owned_engines),
            ('VM list', 1, self.poll_vm_list),
            ('preferred pools', 1 / 2, self.find_assigned_pools),
            ('heartbeats', 2 * FANOUT, self.make_heartbeat),
            ('addresses of peers', 1, self.collect_addresses),
        )
        return [
            LoopStep(name, await self.mean_seconds(step), times)
            for name, times, step in steps
        ]

    async def mean_seconds(self, step: Step) -> float:
        """Return the mean processor time of a step, without its first run."""
        await step()
        spent: float = 0
        for _ in range(REPEATS):
            self.record_contacts()
            await curio.sleep(PAUSE_SECONDS)
            started = time.thread_time()
            await step()
            spent += time.thread_time() - started
        return spent / REPEATS

    def record_contacts(self) -> None:
        """Record a contact with every peer and expire the cached live nodes."""
        application = self.application
        now = application.clock()
        for node in application.membership.members:
            application.contact.peer_contact_times[node] = now
        application.permits.live_at = float('-inf')

    async def renew_loans(self) -> None:
        """Return loans of endpoints of other nodes, then request shares due."""
        loans = self.application.permits.loans
        await loans.return_unowned()
        await loans.renew()

    async def find_owned_engines(self) -> None:
        """Find the engines whose load is polled."""
        owned_engines(self.application)

    async def poll_vm_list(self) -> None:
        """Poll a VM list that has not changed."""
        self.known = await poll_vms(self.application, self.vm_list, self.known)

    async def find_assigned_pools(self) -> None:
        """Find the pools whose orders this node sends."""
        self.orders.assigned_pools()

    async def make_heartbeat(self) -> None:
        """Create one heartbeat."""
        create_heartbeat(self.application)

    async def collect_addresses(self) -> None:
        """Collect the addresses of all peers."""
        self.application.peer_addresses()


def create_target_node() -> TargetNode:
    """Return a node with tables, members and view of the target size."""
    application = create_application(SETTINGS, b'secret', b'token')
    rows = parse_tables(routes_table(TABLE), pools_table(TABLE)).unwrap()
    application.configuration.current = build_configuration(
        rows, zones_out={}, vms_out={}, revision=1
    ).unwrap()
    for number in range(1, NODES):
        name = f'node-{number}'
        application.membership.members[name] = Member(
            name, INCARNATION, ZONE, f'vm-{number}', *(SEED_ADDRESS,) * 3
        )
    application.peer_addresses()
    application.contact.peer_timeout_seconds = PEER_TIMEOUT_SECONDS
    application.mesh = StubMesh(  # type: ignore[assignment]
        application.mesh.addresses
    )
    node = TargetNode(
        application,
        HttpVmList(StubVmListClient(vm_list_body())),  # type: ignore[arg-type]
        create_order_service(application),
    )
    node.record_contacts()
    views = application.permits.views
    views.current = create_view(views.live_holders())
    views.apply(views.current)
    return node


def measure_steps() -> list[LoopStep]:
    """Return the costs of the steps of the loops at the target size."""
    return list(curio.run(create_target_node().measure))


def render_steps(steps: list[LoopStep]) -> str:
    """Return the steps as a Markdown table with their sum."""
    lines = ['| step | time | a second | of a core |', '|---|---|---|---|']
    lines.extend(
        f'| {step.name} | {step.seconds * MICROSECONDS_PER_SECOND:.0f} us '
        f'| {step.times_a_second:g} | {step.cpu_share:.3%} |'
        for step in steps
    )
    total = sum(step.cpu_share for step in steps)
    return '\n'.join([*lines, f'| all | | | {total:.3%} |'])


def vm_list_body() -> bytes:
    """Return the body of the VM list's answer."""
    rows = [
        {'name': f'vm-{number}', 'address': LOOPBACK, 'zone': ZONE}
        for number in range(VMS)
    ]
    return orjson.dumps({'vms': [{**row, 'state': 'live'} for row in rows]})
