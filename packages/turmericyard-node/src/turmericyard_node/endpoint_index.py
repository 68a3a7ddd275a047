"""Endpoints by owner and by address, without a scan of all rows each time.

Loops look them up several times a second. The rows are scanned again only
after the configuration or the view was replaced.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmericyard_decisions.share import share_slots
from turmericyard_decisions.view import View
from turmericyard_tables.models import Configuration, Endpoint

if TYPE_CHECKING:
    from turmericyard_node.application import Application


@dataclass(slots=True)
class EndpointIndex:
    """The last results, and the configuration and view they were built from.

    `shared` has the endpoints of which this node holds a share; it can own no
    others.
    """

    application: 'Application'
    shared: tuple[Endpoint, ...] = ()
    shared_configuration: Configuration | None = None
    shared_view: View | None = None
    addresses: Mapping[str, Endpoint] = field(default_factory=dict)
    addresses_configuration: Configuration | None = None

    def owned(self) -> tuple[Endpoint, ...]:
        """Return the endpoints that this node owns now."""
        permits = self.application.permits
        configuration = self.application.configuration.current
        view = permits.views.current
        if view is None:
            return ()
        if (
            configuration is not self.shared_configuration
            or view is not self.shared_view
        ):
            self.shared = self.find_shared(configuration, view)
            self.shared_configuration = configuration
            self.shared_view = view
        return tuple(row for row in self.shared if permits.owns(row.name))

    def find_shared(
        self, configuration: Configuration, view: View
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints of which this node holds a share."""
        own = self.application.identity.node
        held = {
            number
            for number, slot in enumerate(view.slots)
            if slot.holder.node == own
        }
        return tuple(
            endpoint
            for endpoint in configuration.endpoints.values()
            if not held.isdisjoint(share_slots(endpoint.address))
        )

    def by_address(self) -> Mapping[str, Endpoint]:
        """Return all endpoints by address."""
        configuration = self.application.configuration.current
        if configuration is not self.addresses_configuration:
            self.addresses = {
                endpoint.address: endpoint
                for endpoint in configuration.endpoints.values()
            }
            self.addresses_configuration = configuration
        return self.addresses
