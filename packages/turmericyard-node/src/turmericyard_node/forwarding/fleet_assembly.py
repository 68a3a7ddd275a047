"""Creates the parts of a forwarding node that communicate with its peers."""

from functools import partial
from uuid import uuid4

from turmericyard_clients.store import Store
from turmericyard_decisions.outlier import LATEST_WEIGHT, PLAIN_FLEET_WEIGHT
from turmericyard_http.clock import boot_seconds
from turmericyard_node.contact import ContactTimes
from turmericyard_node.forwarding.endpoint_evidence import (
    AnswerTally,
    FleetEvidence,
)
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.hub import LIVE_SECONDS, create_hub
from turmericyard_node.forwarding.hub_choice import HubChoice
from turmericyard_node.forwarding.load_tracker import LoadTracker
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.members import Member, Membership
from turmericyard_node.peers.identity import Identity
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_ports.settings import ForwardingSettings

#: Time for which a record outlives its node, in seconds.
MEMBER_TTL_SECONDS = 25.0
#: The mesh needs no secret where the platform isolates its network.
OPEN_NETWORK_SECRET = b'turmericyard'


def create_contact() -> ContactTimes:
    """Return the contact times of a node without any contact yet."""
    never = boot_seconds() - LIVE_SECONDS
    return ContactTimes(LIVE_SECONDS, never, LIVE_SECONDS)


def create_fleet(
    settings: ForwardingSettings,
    store: Store,
    contact: ContactTimes,
    platform_state: PlatformState,
) -> Fleet:
    """Return this node among its peers."""
    own = Member(
        settings.node,
        uuid4().hex,
        settings.zone,
        settings.node,
        settings.peers,
        settings.callers,
        settings.control,
        cores=settings.cores,
    )
    membership = Membership(
        own, store, contact, boot_seconds, MEMBER_TTL_SECONDS
    )
    membership.members[own.node] = own
    mesh = PeerMesh(
        Identity(own.node, own.incarnation, OPEN_NETWORK_SECRET),
        ignore_message,
        settings.peers.rpartition(':')[0],
    )
    evidence = FleetEvidence(
        boot_seconds, partial(evidence_weight, platform_state)
    )
    hub = create_hub(mesh, contact, platform_state, boot_seconds, evidence)
    loads = LoadTracker(hub.peer_totals, changed=hub.findings.heartbeat_wanted)
    fleet = Fleet(
        membership,
        contact,
        mesh,
        platform_state,
        loads,
        AnswerTally(boot_seconds),
        hub,
        HubChoice(membership, boot_seconds),
        boot_seconds,
        EndpointPaths(),
        is_not_ready,
    )
    mesh.receiver = fleet.receive
    return fleet


def evidence_weight(platform_state: PlatformState, identity: str) -> float:
    """Return the weight of an endpoint's latest answer to any node."""
    endpoint = platform_state.registry.endpoints.get(identity)
    service = (
        platform_state.service(endpoint.record.service) if endpoint else None
    )
    if service is None or service.engine is None:
        return PLAIN_FLEET_WEIGHT
    return LATEST_WEIGHT


def is_not_ready() -> bool:
    """Return False, until the application sets its own check."""
    return False


async def ignore_message(_payload: object, _sender: str) -> None:
    """Ignore a message that arrives before the fleet exists."""
