"""Creates the parts of a node that forward requests and move their runs."""

from importlib import import_module

from turmericyard_http.clock import boot_seconds
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.forwarding.calls import CallForwarder
from turmericyard_node.forwarding.copies import CopyCleaner
from turmericyard_node.forwarding.crash_detector import CrashDetector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.moves import RunCopier
from turmericyard_node.forwarding.options import NodeOptions
from turmericyard_node.forwarding.request_handler import RequestHandler
from turmericyard_node.forwarding.rollout.rollouts import Rollouts
from turmericyard_node.forwarding.run_stops.run_stopper import RunStopper
from turmericyard_node.forwarding.runs import RunRegistry
from turmericyard_node.forwarding.sending import Sender
from turmericyard_node.forwarding.stream_failover import StreamFailover
from turmericyard_node.forwarding.streams import StreamForwarder
from turmericyard_node.forwarding.waiting import WaitingRoom
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.settings import ForwardingSettings


def create_forwarders(
    platform_adapter: PlatformAdapter,
    settings: ForwardingSettings,
    fleet: Fleet,
    room: WaitingRoom,
    tasks: BackgroundTasks,
    options: NodeOptions,
    rollouts: Rollouts,
) -> tuple[RequestHandler, RunCopier]:
    """Return the parts that forward requests and move their runs."""
    loads = fleet.loads
    instruments = room.instruments
    sender = Sender(
        platform_adapter,
        settings.bounds,
        fleet,
        boot_seconds,
        instruments,
        CrashDetector(fleet.hub.findings, tasks, fleet.paths),
        rollouts,
    )
    hedging = None
    if options.hedging.share:
        # Imports decide how soon a node on a small machine serves.
        module = import_module('turmericyard_node.forwarding.hedging.hedging')
        hedging = module.create_hedging(
            options.hedging.share, sender, room, tasks
        )
    run_registry = RunRegistry(loads)
    cleaner = CopyCleaner(platform_adapter, tasks, fleet.paths)
    stopper = RunStopper(
        platform_adapter,
        fleet.platform_state,
        fleet.paths,
        cleaner,
        tasks,
        instruments,
        boot_seconds,
    )
    stream_failover = StreamFailover(
        sender, room.placement, loads, boot_seconds, cleaner, stopper
    )
    streams = StreamForwarder(
        platform_adapter,
        sender,
        room,
        stream_failover,
        loads,
        run_registry,
        boot_seconds,
        instruments,
        fleet.paces,
        hedging,
    )
    calls = CallForwarder(
        platform_adapter,
        sender,
        room,
        loads,
        boot_seconds,
        fleet.paces.calls,
        hedging,
    )
    request_handler = RequestHandler(
        platform_adapter,
        fleet.platform_state,
        fleet.contact,
        calls,
        streams,
        instruments,
        boot_seconds,
    )
    return request_handler, RunCopier(
        platform_adapter,
        room.placement,
        loads,
        run_registry,
        boot_seconds,
        instruments,
        cleaner,
        fleet.paths,
        stopper.copy_calls,
    )
