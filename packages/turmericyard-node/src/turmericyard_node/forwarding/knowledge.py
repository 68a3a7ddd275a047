"""What the node knows of the platform: configuration, zones, endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import curio
from returns.result import Success

from turmericyard_clients.store import Change
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint, EndpointBook
from turmericyard_node.forwarding.view import Listener, StoreView
from turmericyard_ports.border import Border
from turmericyard_ports.configuration import (
    Configuration,
    RouteTable,
    Service,
    index_routes,
)
from turmericyard_ports.endpoint import EndpointRecord
from turmericyard_protocol.fleet_messages import LeavingSign

#: How long after its notice an endpoint may still go on with a run, in
#: seconds; half the time in which it must get nothing more.
CONTINUE_SECONDS = 1.0


@dataclass(slots=True)
class Knowledge:
    """Follows a view of the store and keeps its meaning at hand."""

    border: Border
    clock: Clock
    view: StoreView = field(default_factory=StoreView)
    book: EndpointBook = field(default_factory=EndpointBook)
    table: RouteTable | None = None
    closed_zones: dict[str, int] = field(default_factory=dict)
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    #: Hear the changes that mean something new.
    listeners: list[Listener] = field(default_factory=list)
    news: curio.Event = field(default_factory=curio.Event)
    is_news: bool = False

    def observe(self, change: Change) -> None:
        """Take over one change of the store."""
        if change.key.startswith(self.border.endpoint_prefix):
            if not self.observe_endpoint(change):
                return
        elif change.key.startswith(self.border.operator_prefix):
            self.observe_operator(change)
        self.is_news = True
        for listener in self.listeners:
            listener(change)

    async def flush(self) -> None:
        """Wake up what waits for news; called after the view changed."""
        if self.is_news:
            self.is_news = False
            await self.news.set()

    def observe_operator(self, change: Change) -> None:
        """Take over what the operators wrote."""
        zone = self.border.closed_zone(change.key)
        if zone is not None:
            self.observe_zone(zone, change)
            return
        if change.value is None:
            return
        read = self.border.read_configuration(change.key, change.value)
        if read is None:
            return
        if isinstance(read, Success):
            self.observe_configuration(read.unwrap(), change.revision)
        else:
            log_event(Event.CONFIGURATION_REFUSED, message=read.failure())

    def observe_zone(self, zone: str, change: Change) -> None:
        """Close a zone to new requests, or open it."""
        if change.value is None:
            self.closed_zones.pop(zone, None)
            log_event(Event.ZONE_OPENED, zone=zone, revision=change.revision)
            return
        self.closed_zones[zone] = change.revision
        log_event(Event.ZONE_CLOSED, zone=zone, revision=change.revision)

    def observe_configuration(
        self, configuration: Configuration, revision: int
    ) -> None:
        """Put a configuration in force unless it is older."""
        known = self.table
        if known and known.configuration.version >= configuration.version:
            return
        self.table = index_routes(configuration)
        log_event(
            Event.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    def observe_endpoint(self, change: Change) -> bool:
        """Take over the record of an endpoint; return whether it is new.

        Endpoints renew their records all the time, mostly with no news.
        """
        identity = change.key.removeprefix(self.border.endpoint_prefix)
        now = self.clock()
        if change.value is None:
            self.records.pop(identity, None)
            self.book.remove(identity, now)
            return True
        read = self.border.read_endpoint(change.key, change.value)
        if not isinstance(read, Success):
            log_event(Event.ENDPOINT_UNREADABLE, message=read.failure())
            self.records.pop(identity, None)
            self.book.remove(identity, now)
            return True
        record: EndpointRecord = read.unwrap()
        known = self.records.get(identity)
        self.records[identity] = record
        self.book.observe(record, now)
        return known != record

    def observe_sign(self, sign: LeavingSign) -> bool:
        """Take over that an endpoint leaves; return whether that is new."""
        is_new = self.book.observe_sign(sign, self.clock())
        self.is_news = self.is_news or is_new
        return is_new

    def endpoints(self, service: str) -> Iterable[Endpoint]:
        """Return the endpoints that may get requests of a service."""
        return [
            endpoint
            for endpoint in self.book.of_service(service, self.clock())
            if endpoint.record.zone not in self.closed_zones
        ]

    def stays(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may go on with runs that it has copies of.

        One that leaves, or whose zone is closed, may not for long.
        """
        if endpoint.record.zone in self.closed_zones:
            return False
        return endpoint.usable(self.clock())

    def may_continue(self, endpoint: Endpoint) -> bool:
        """Return whether a run may go on at an endpoint that has its copy.

        One that wants nothing of this node for now gets one run at most: the
        platform allows two requests, and the stream would end torn.
        """
        if endpoint.record.zone in self.closed_zones:
            return False
        if endpoint.rests(self.clock()) and endpoint.sent_in_rest:
            return False
        left_at = endpoint.leaving_since
        return left_at is None or self.clock() - left_at < CONTINUE_SECONDS

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        if self.table is None:
            return None
        return self.table.configuration.services.get(name)


def create_knowledge(border: Border, clock: Clock) -> Knowledge:
    """Return knowledge that follows a new view."""
    knowledge = Knowledge(border, clock)
    knowledge.view.listeners.append(knowledge.observe)
    return knowledge
