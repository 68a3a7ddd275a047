"""Roll-outs as the rest of a node sees them.

Their parts are loaded when the store first has an item of a roll-out: the
modules that a node imports decide how soon it serves on a small machine.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from importlib import import_module
from typing import TYPE_CHECKING, Any

import curio

from turmericyard_clients.store import Change
from turmericyard_ports.rollout import STATE_PREFIX, Version

if TYPE_CHECKING:
    from turmericyard_clients.store import Store
    from turmericyard_node.forwarding.endpoint_registry import Endpoint
    from turmericyard_node.forwarding.fleet import Fleet
    from turmericyard_node.forwarding.job import Job
    from turmericyard_node.forwarding.rollout.decider import RolloutDecider
    from turmericyard_node.forwarding.runs import Run
    from turmericyard_ports.border import PlatformAdapter
    from turmericyard_ports.settings import ForwardingSettings

ASSEMBLY = 'turmericyard_node.forwarding.rollout.assembly'
PAGE = 'turmericyard_node.forwarding.rollout.page'
#: Interval at which a node without roll-outs looks whether it has one, in
#: seconds.
CHECK_SECONDS = 0.2


@dataclass(slots=True)
class VersionDraw:
    """The version that was drawn for the next send of a request.

    `send` is the number of sends before it. `sent_at` and `version` are the
    time of the last send and the version of its endpoint. `is_counted` tells
    whether the request counts as sent to its service, `has_pace` whether the
    time of its first events was counted.
    """

    send: int = -1
    drawn_at: float = 0
    is_new: bool = False
    sent_at: float = 0
    version: Version = ''
    is_counted: bool = False
    has_pace: bool = False


@dataclass(slots=True)
class Rollouts:
    """The roll-outs of a node; `decider` is None while there are none."""

    platform_adapter: 'PlatformAdapter'
    create: 'Callable[[], RolloutDecider]'
    decider: 'RolloutDecider | None' = None

    def load(self) -> 'RolloutDecider':
        """Return the decider, created at the first call."""
        if self.decider is None:
            self.decider = self.create()
        return self.decider

    def observe(self, change: Change) -> None:
        """Apply a change of the store; the first of a roll-out loads it."""
        if self.decider is None and not self.is_rollout(change.key):
            return
        self.load().registry.observe(change)

    def is_rollout(self, key: str) -> bool:
        """Return whether a key is that of an order, a state or a status."""
        if self.platform_adapter.rollout_service(key) is not None:
            return True
        return key.startswith(
            (STATE_PREFIX, self.platform_adapter.rollout_status_key(''))
        )

    def avoided(self, job: 'Job') -> list[str]:
        """Return the endpoints that a request must not be placed at."""
        if self.decider is None:
            return []
        return self.decider.version_filter.avoided(job)

    def avoided_for_copy(self, service: str, source: 'Endpoint') -> list[str]:
        """Return the endpoints of other versions than that of a run."""
        if self.decider is None:
            return []
        return self.decider.version_filter.avoided_for_copy(service, source)

    def admit(self, job: 'Job', endpoint: 'Endpoint') -> bool:
        """Count a send if the version of its endpoint may get it."""
        if self.decider is None:
            return True
        return self.decider.version_filter.admit(job, endpoint)

    def record(self, job: 'Job', endpoint: 'Endpoint', *, failed: bool) -> None:
        """Count a response of an endpoint."""
        if self.decider is not None:
            responses = self.decider.version_filter.responses
            responses.record(job, endpoint, failed=failed)

    def record_head(
        self, job: 'Job', endpoint: 'Endpoint', *, is_valid: bool
    ) -> None:
        """Count a stream that did not begin."""
        if self.decider is not None:
            responses = self.decider.version_filter.responses
            responses.record_head(job, endpoint, is_valid=is_valid)

    def record_events(self, run: 'Run') -> None:
        """Count the times of a stream's first events."""
        if self.decider is not None:
            self.decider.version_filter.responses.record_events(run)

    def record_break(self, run: 'Run') -> None:
        """Count a stream that broke."""
        if self.decider is not None:
            self.decider.version_filter.responses.record_break(run)

    def describe(self) -> list[dict[str, Any]]:
        """Return each roll-out, its stage and its evidence as JSON values."""
        if self.decider is None:
            return []
        page = import_module(PAGE)
        described: list[dict[str, Any]] = page.describe(self.decider)
        return described

    async def run(self) -> None:
        """Decide on roll-outs once there are any, until cancelled."""
        while self.decider is None:
            await curio.sleep(CHECK_SECONDS)
        await self.decider.run()


def create_rollouts(
    settings: 'ForwardingSettings',
    platform_adapter: 'PlatformAdapter',
    fleet: 'Fleet',
    store: 'Store',
) -> Rollouts:
    """Return the roll-outs of a node, which follow the store."""
    create = partial(create_decider, settings, platform_adapter, fleet, store)
    rollouts = Rollouts(platform_adapter, create)
    fleet.platform_state.listeners.append(rollouts.observe)
    return rollouts


def create_decider(
    settings: 'ForwardingSettings',
    platform_adapter: 'PlatformAdapter',
    fleet: 'Fleet',
    store: 'Store',
) -> 'RolloutDecider':
    """Load the parts of roll-outs and return the decider."""
    assembly = import_module(ASSEMBLY)
    decider: RolloutDecider = assembly.create_rollouts(
        settings, platform_adapter, fleet, store
    )
    return decider
