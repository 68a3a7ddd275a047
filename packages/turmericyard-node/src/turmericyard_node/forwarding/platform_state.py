"""What the node knows of the platform: configuration, zones, endpoints."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import curio
from returns.result import Success

from turmericyard_clients.store import Change
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import (
    Endpoint,
    EndpointRegistry,
)
from turmericyard_node.forwarding.view import Listener, StoreView
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.configuration import (
    Configuration,
    RouteTable,
    Service,
    index_routes,
)
from turmericyard_ports.endpoint import EndpointRecord
from turmericyard_protocol.fleet_messages import EndpointLimit, LeavingSign

#: Time after its notice for which an endpoint may still continue a run, in
#: seconds: half of the time within which it may still get requests.
CONTINUE_AFTER_NOTICE_SECONDS = 1.0
#: Source of the changes that this node read from the store itself.
STORE_SOURCE = 'store'


@dataclass(slots=True)
class PlatformState:
    """Decodes the items of a store view and keeps the decoded state.

    `changed` is set by `flush` after a change. `records` are the last records
    by endpoint, `closed_zones` the revisions at which zones were closed.
    """

    platform_adapter: PlatformAdapter
    clock: Clock
    view: StoreView = field(default_factory=StoreView)
    registry: EndpointRegistry = field(default_factory=EndpointRegistry)
    route_table: RouteTable | None = None
    closed_zones: dict[str, int] = field(default_factory=dict)
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    #: Called with each change, except those that repeat an endpoint's record.
    listeners: list[Listener] = field(default_factory=list)
    changed: curio.Event = field(default_factory=curio.Event)
    has_changed: bool = False
    #: Set by `flush` after the view has moved to another era.
    restored: curio.Event = field(default_factory=curio.Event)
    flushed_era: int = 0
    #: What the changes come from that are applied now, for the log.
    source: str = STORE_SOURCE

    @contextmanager
    def receiving_from(self, node: str) -> Iterator[None]:
        """Note in the log that changes in this block come from a node."""
        self.source = node
        try:
            yield
        finally:
            self.source = STORE_SOURCE

    def observe(self, change: Change) -> None:
        """Apply one change of the store and call the listeners."""
        if change.key.startswith(self.platform_adapter.endpoint_prefix):
            if not self.apply_endpoint_change(change):
                return
        elif change.key.startswith(self.platform_adapter.operator_prefix):
            self.apply_operator_change(change)
        self.has_changed = True
        for listener in self.listeners:
            listener(change)

    async def flush(self) -> None:
        """Set `changed` after a change; to be called after view updates."""
        if self.view.era != self.flushed_era:
            self.flushed_era = self.view.era
            await self.restored.set()
        if self.has_changed:
            self.has_changed = False
            await self.changed.set()

    def apply_operator_change(self, change: Change) -> None:
        """Apply a change of an operator's key."""
        zone = self.platform_adapter.closed_zone(change.key)
        if zone is not None:
            self.apply_zone_change(zone, change)
            return
        if change.value is None:
            return
        read = self.platform_adapter.read_configuration(
            change.key, change.value
        )
        if read is None:
            return
        if isinstance(read, Success):
            self.apply_configuration(read.unwrap(), change.revision)
        else:
            log_event(Event.CONFIGURATION_REFUSED, message=read.failure())

    def apply_zone_change(self, zone: str, change: Change) -> None:
        """Close a zone to new requests, or open it."""
        if change.value is None:
            self.closed_zones.pop(zone, None)
            log_event(Event.ZONE_OPENED, zone=zone, revision=change.revision)
            return
        self.closed_zones[zone] = change.revision
        log_event(Event.ZONE_CLOSED, zone=zone, revision=change.revision)

    def apply_configuration(
        self, configuration: Configuration, revision: int
    ) -> None:
        """Put a configuration in force unless its version is older.

        The view passes on only what is newer in the store: other content with
        the version in force replaces it.
        """
        known = self.route_table.configuration if self.route_table else None
        if known == configuration:
            return
        if known and known.version > configuration.version:
            log_event(
                Event.CONFIGURATION_IGNORED,
                version=configuration.version,
                revision=revision,
                known=known.version,
                source=self.source,
            )
            return
        self.route_table = index_routes(configuration)
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
            source=self.source,
        )

    def apply_endpoint_change(self, change: Change) -> bool:
        """Apply a change of an endpoint's record; return whether it differs.

        Endpoints renew their records continuously, mostly unchanged.
        """
        identity = change.key.removeprefix(
            self.platform_adapter.endpoint_prefix
        )
        now = self.clock()
        if change.value is None:
            self.records.pop(identity, None)
            self.registry.remove(identity, now)
            return True
        read = self.platform_adapter.read_endpoint(change.key, change.value)
        if not isinstance(read, Success):
            log_event(Event.ENDPOINT_UNREADABLE, message=read.failure())
            self.records.pop(identity, None)
            self.registry.remove(identity, now)
            return True
        record: EndpointRecord = read.unwrap()
        known = self.records.get(identity)
        self.records[identity] = record
        self.registry.observe(record, now)
        return known != record

    def record_renewals(
        self, changes: Iterable[Change], renewed_at: float
    ) -> None:
        """Record the endpoints whose records were written later than a time."""
        prefix = self.platform_adapter.endpoint_prefix
        for change in changes:
            if change.value is not None and change.key.startswith(prefix):
                identity = change.key.removeprefix(prefix)
                self.registry.record_renewal(identity, renewed_at)

    def observe_limit(self, limit: EndpointLimit) -> bool:
        """Record the limit of an endpoint; return whether it is new."""
        return self.registry.observe_limit(limit, self.clock())

    def observe_sign(self, sign: LeavingSign) -> bool:
        """Apply a sign that an endpoint leaves; return whether it is new."""
        is_new = self.registry.observe_sign(sign, self.clock())
        self.has_changed = self.has_changed or is_new
        return is_new

    def usable_endpoints(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints that may get requests of a service."""
        return [
            endpoint
            for endpoint in self.registry.usable_of_service(service)
            if endpoint.record.zone not in self.closed_zones
        ]

    def may_hold_copy(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may keep the runs that it has copies of.

        An endpoint that leaves, or whose zone is closed, may keep them only
        for a short time.
        """
        if endpoint.record.zone in self.closed_zones:
            return False
        return endpoint.usable()

    def may_continue_run(self, endpoint: Endpoint) -> bool:
        """Return whether a run may continue at an endpoint that has its copy.

        An endpoint that asked this node to back off gets at most one run until
        the back-off ends: the platform allows two requests in that time, and
        one more would break the stream.
        """
        if endpoint.record.zone in self.closed_zones:
            return False
        if endpoint.is_backing_off(self.clock()) and endpoint.sent_in_back_off:
            return False
        left_at = endpoint.leaving_since
        return (
            left_at is None
            or self.clock() - left_at < CONTINUE_AFTER_NOTICE_SECONDS
        )

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        if self.route_table is None:
            return None
        return self.route_table.configuration.services.get(name)


def create_platform_state(
    platform_adapter: PlatformAdapter, clock: Clock
) -> PlatformState:
    """Return platform state that follows a new view."""
    platform_state = PlatformState(platform_adapter, clock)
    platform_state.view.read_version = platform_adapter.read_item_version
    platform_state.view.listeners.append(platform_state.observe)
    return platform_state
