"""Creates the parts of a forwarding node that communicate with its peers."""

from functools import partial
from uuid import uuid4

from turmericyard_clients.store import Store
from turmericyard_decisions.outlier import LATEST_WEIGHT, PLAIN_FLEET_WEIGHT
from turmericyard_http.clock import boot_seconds
from turmericyard_node.contact import ContactTimes
from turmericyard_node.forwarding.balancing.endpoint_paces import create_paces
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
from turmericyard_node.peers.tunnel import TunnelServer
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
    paths = EndpointPaths(
        mesh,
        own,
        boot_seconds,
        list,
        partial(zone_of_address, platform_state),
        loads.changed,
    )
    hub.cut_off_nodes.own = partial(own_name_if_cut_off, paths)
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
        paths,
        TunnelServer(partial(is_served, paths)),
        is_not_ready,
        create_paces(platform_state, loads, boot_seconds),
    )
    fleet.paces.calls.own = own.node
    fleet.paces.calls.zones = partial(zones_of_nodes, fleet)
    mesh.receiver = fleet.answer
    paths.relays = partial(find_relays, fleet)
    mesh.serve_tunnel = fleet.tunnels.serve
    return fleet


def zones_of_nodes(fleet: Fleet) -> dict[str, str]:
    """Return the zones of the live nodes by name, this one included."""
    members = fleet.membership.members
    return {
        node: members[node].zone
        for node in (*fleet.live_members(), fleet.own.node)
        if node in members
    }


def evidence_weight(platform_state: PlatformState, identity: str) -> float:
    """Return the weight of an endpoint's latest answer to any node."""
    endpoint = platform_state.registry.endpoints.get(identity)
    service = (
        platform_state.service(endpoint.record.service) if endpoint else None
    )
    if service is None or service.engine is None:
        return PLAIN_FLEET_WEIGHT
    return LATEST_WEIGHT


def find_relays(fleet: Fleet) -> list[Member]:
    """Return the nodes that may reach endpoints for this one."""
    report = fleet.hub_choice.current_report()
    cut_off = set(fleet.hub.cut_off_nodes.reported)
    if report is not None and not fleet.hub_choice.is_hub():
        cut_off = set(report.cut_off)
    members = fleet.membership.members
    return [
        members[node]
        for node, taking in fleet.live_members().items()
        if taking and node in members and node not in cut_off
    ]


def zone_of_address(platform_state: PlatformState, address: str) -> str:
    """Return the zone of the endpoint at an address, empty for no endpoint."""
    for endpoint in platform_state.registry.endpoints.values():
        if endpoint.record.address == address:
            return endpoint.record.zone
    return ''


def is_served(paths: EndpointPaths, address: str) -> bool:
    """Return whether this node may reach an endpoint for a peer."""
    return not paths.is_cut_off and bool(paths.zone_of(address))


def own_name_if_cut_off(paths: EndpointPaths) -> tuple[str, ...]:
    """Return the name of this node if it is cut off from all endpoints."""
    return (paths.own.node,) if paths.is_cut_off else ()


def is_not_ready() -> bool:
    """Return False, until the application sets its own check."""
    return False


async def ignore_message(_payload: object, _sender: str) -> None:
    """Ignore a message that arrives before the fleet exists."""
