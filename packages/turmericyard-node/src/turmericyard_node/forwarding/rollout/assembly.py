"""Creates the parts of a node that roll out versions."""

from turmericyard_clients.store import Store
from turmericyard_http.clock import boot_seconds
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.rollout.decider import RolloutDecider
from turmericyard_node.forwarding.rollout.filter import RolloutFilter
from turmericyard_node.forwarding.rollout.registry import RolloutRegistry
from turmericyard_node.forwarding.rollout.responses import ResponseCounter
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.settings import ForwardingSettings

MILLISECONDS = 1000


def create_rollouts(
    settings: ForwardingSettings,
    platform_adapter: PlatformAdapter,
    fleet: Fleet,
    store: Store,
) -> RolloutDecider:
    """Return the decider and its parts, connected to the fleet."""
    registry = RolloutRegistry(
        platform_adapter, fleet.platform_state, settings.bounds, boot_seconds
    )
    fleet.platform_state.listeners.append(registry.observe)
    version_filter = RolloutFilter(
        registry,
        fleet.platform_state,
        boot_seconds,
        ResponseCounter(registry, boot_seconds),
    )
    decider = RolloutDecider(
        registry, version_filter, fleet, store, boot_seconds
    )
    fleet.started = int(boot_seconds() * MILLISECONDS)
    fleet.rollout_counts = version_filter.responses.to_messages
    fleet.record_rollouts = decider.record
    return decider
