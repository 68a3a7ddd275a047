"""Creates and connects the parts of a forwarding node."""

from functools import partial
from importlib import import_module

from turmericyard_http.clock import boot_seconds
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.forwarding.admission.queue import AdmissionQueue
from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.clients.bounds import (
    bound_endpoints,
    create_client_bounds,
)
from turmericyard_node.forwarding.discovery import Discovery, other_seeds
from turmericyard_node.forwarding.endpoint_evidence import ejected_in_zone
from turmericyard_node.forwarding.endpoint_poll import EndpointPoll
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.fleet_assembly import (
    create_contact,
    create_fleet,
)
from turmericyard_node.forwarding.follow import Follower
from turmericyard_node.forwarding.forwarder_assembly import (
    create_forwarders,
)
from turmericyard_node.forwarding.hub_choice import HubChoice
from turmericyard_node.forwarding.instruments import (
    Exporter,
    create_instruments,
)
from turmericyard_node.forwarding.node_status import NodeStatusHandler
from turmericyard_node.forwarding.options import NodeOptions
from turmericyard_node.forwarding.placement import HubPlacement
from turmericyard_node.forwarding.platform_state import (
    PlatformState,
    create_platform_state,
)
from turmericyard_node.forwarding.rollout.rollouts import create_rollouts
from turmericyard_node.forwarding.stalls import StallWatch
from turmericyard_node.forwarding.waiting import WaitingRoom
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.settings import ForwardingSettings


def create_forwarding(
    settings: ForwardingSettings,
    platform_adapter: PlatformAdapter,
    options: NodeOptions | None = None,
) -> ForwardingApplication:
    """Return the application for valid settings, not yet started."""
    store = platform_adapter.open_store(settings)
    platform_state = create_platform_state(platform_adapter, boot_seconds)
    fleet = create_fleet(settings, store, create_contact(), platform_state)
    discovery = Discovery(
        fleet, platform_adapter.read_settings, other_seeds(settings)
    )
    platform_state.registry.is_store_failing = partial(
        is_store_failing_everywhere, fleet.hub_choice, platform_state
    )
    platform_state.registry.lapse_seconds = settings.bounds.lapse_seconds
    platform_state.listeners.extend((discovery.observe, fleet.hub.observe))
    rollouts = create_rollouts(settings, platform_adapter, fleet, store)
    endpoint_selector = EndpointSelector(
        platform_state,
        fleet.loads,
        settings.bounds,
        settings.zone,
        boot_seconds,
        fleet.size,
        partial(ejected_endpoints, fleet),
        fleet.hub.findings.trials,
        fleet.paces,
        rollouts=rollouts,
    )
    fleet.place_for_peer = endpoint_selector.place_for_peer
    fleet.end_place = endpoint_selector.placed.end
    fleet.copy_place_for_peer = endpoint_selector.place_copy
    instruments = create_instruments()
    room = WaitingRoom(
        HubPlacement(
            fleet,
            endpoint_selector,
            boot_seconds,
            AdmissionQueue(fleet, endpoint_selector),
        ),
        boot_seconds,
        instruments,
    )
    tasks = BackgroundTasks()
    request_handler, run_copier = create_forwarders(
        platform_adapter,
        settings,
        fleet,
        room,
        tasks,
        options or NodeOptions(),
        rollouts,
    )
    application = ForwardingApplication(
        settings,
        platform_adapter,
        boot_seconds,
        fleet.contact,
        platform_state,
        Follower(
            store,
            fleet.contact,
            platform_state,
            boot_seconds,
            fleet.hub_choice.follows_store,
            partial(is_relied_on, fleet),
            fleet.hub_choice.store_ages,
            fleet.loads.changed.set,
        ),
        fleet,
        discovery,
        room,
        request_handler,
        NodeStatusHandler(
            platform_adapter,
            fleet,
            settings.bounds.address_ttl_seconds,
            instruments,
            rollouts,
        ),
        run_copier,
        StallWatch(boot_seconds),
        EndpointPoll(platform_adapter, fleet, boot_seconds),
        tasks,
        options or NodeOptions(),
        create_client_bounds(
            settings, (options or NodeOptions()).clients, platform_state
        ),
        rollouts,
    )
    fleet.is_ready = application.is_ready
    bound_endpoints(application)
    platform_state.registry.listeners.append(
        application.leaving_endpoints.append
    )
    instruments.create_exporter = partial(create_exporter, application)
    return application


def create_exporter(application: ForwardingApplication) -> Exporter:
    """Return an exporter with all gauges, whose modules are loaded now."""
    module = import_module('turmericyard_node.forwarding.gauges')
    exporter: Exporter = module.create_exporter(application)
    return exporter


def is_relied_on(fleet: Fleet) -> bool:
    """Return whether other nodes use this node's view, or there are no others."""
    return bool(fleet.hub.last_heartbeats) or fleet.size() == 1


def ejected_endpoints(fleet: Fleet, zone: str) -> frozenset[str]:
    """Return the endpoints known to fail for the nodes of a zone."""
    found = ejected_in_zone(fleet.hub.evidence.ejected(), zone)
    report = fleet.hub_choice.current_report()
    return (
        found
        if report is None
        else found | ejected_in_zone(report.ejections, zone)
    )


def is_store_failing_everywhere(
    hubs: HubChoice, platform_state: PlatformState
) -> bool:
    """Return whether the store answers neither this node nor its hubs."""
    return hubs.is_store_failing(
        failed=platform_state.registry.has_store_failed(boot_seconds())
    )
