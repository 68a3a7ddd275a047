"""The protocol that the adapter of a platform implements."""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from turmericyard_clients.store import Store
from turmericyard_http.connection import Connect
from turmericyard_http.messages import Request, Response
from turmericyard_ports.configuration import Configuration
from turmericyard_ports.endpoint import CopiedRun, CopyError, EndpointRecord
from turmericyard_ports.request import (
    AnswerSigns,
    EndpointReport,
    ForwardingContext,
    Headers,
    IncomingRequest,
)
from turmericyard_ports.rollout import RolloutOrder, RolloutStatus
from turmericyard_ports.settings import ForwardingSettings


class StoreItemReader(Protocol):
    """Reads the items that a platform publishes in its store."""

    #: Store prefixes below which the platform publishes its data.
    operator_prefix: str
    endpoint_prefix: str
    #: Key of the configuration.
    configuration_key: str

    def open_store_at(self, address: str) -> Store:
        """Return a client of the platform's store at `ip:port`."""

    def ignored_configuration_fields(self, value: bytes) -> tuple[str, ...]:
        """Return the places of fields of a configuration that have no effect.

        `value` is a valid configuration.
        """

    def read_configuration(
        self, key: str, value: bytes
    ) -> Result[Configuration, str] | None:
        """Return the configuration in a store item; None for other items.

        A failure says why the item is invalid.
        """

    def read_item_version(
        self, key: str, value: bytes
    ) -> tuple[int, ...] | None:
        """Return what orders the values of a store item by their content.

        The numbers of a later value are higher, also if the store has lost
        changes in between; None where the content has no order.
        """

    def closed_zone(self, key: str) -> str | None:
        """Return the zone that a store item takes out of service, if any."""

    def read_endpoint(
        self, key: str, value: bytes
    ) -> Result[EndpointRecord, str]:
        """Return the endpoint in a store item, or why it is invalid."""

    def rollout_service(self, key: str) -> str | None:
        """Return the service of a roll-out order's key, None for other keys."""

    def read_rollout_order(
        self, key: str, value: bytes
    ) -> Result[RolloutOrder, str]:
        """Return the order in a store item, or why it is invalid."""

    def rollout_status_key(self, service: str) -> str:
        """Return the key of the status of a service's roll-out."""

    def encode_rollout_status(self, status: RolloutStatus) -> bytes:
        """Return the value of a status item."""

    def read_rollout_status(
        self, key: str, value: bytes
    ) -> RolloutStatus | None:
        """Return the status in a store item, None for other items."""


class PlatformAdapter(StoreItemReader, Protocol):
    """Translates between a platform's formats and the core's types."""

    def read_settings(self) -> Result[ForwardingSettings, str]:
        """Return the settings of this process, or why they are invalid."""

    def open_store(self, settings: ForwardingSettings) -> Store:
        """Return a client of the platform's store."""

    def read_incoming_request(
        self, request: Request, now: float
    ) -> Result[IncomingRequest, Response]:
        """Return the decoded request, or the answer to a malformed one.

        `now` is on the node's clock, in seconds.
        """

    def forwarded_headers(
        self, incoming: IncomingRequest, forwarding_context: ForwardingContext
    ) -> Headers:
        """Return the headers of the request that is sent to an endpoint."""

    def read_answer_signs(
        self, incoming: IncomingRequest, status: int, headers: Headers
    ) -> AnswerSigns:
        """Return what the head of an endpoint's answer to a request says."""

    def read_endpoint_report(
        self, status: int, headers: Headers
    ) -> EndpointReport:
        """Return what an endpoint's answer tells about the endpoint."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers that are passed back to the client."""

    def refusal(
        self, status: int, detail: str, retry_after: float | None = None
    ) -> Response:
        """Return an error answer that this system gives itself.

        `retry_after` is in seconds.
        """

    def directory_response(
        self, addresses: Sequence[str], ttl_seconds: float
    ) -> Response:
        """Return the answer to a request for the addresses of nodes."""

    def classify_status_request(self, request: Request) -> str | None:
        """Return `ready` or `addresses` for requests for these, else None."""

    def requested_zone(self, request: Request) -> str:
        """Return the zone of a client that requests addresses."""

    async def fetch_endpoint_report(
        self, connect: Connect, address: str
    ) -> Result[EndpointReport, str]:
        """Return what an engine reports, or why there is no answer."""

    async def free_copy(
        self, connect: Connect, address: str, handle: str
    ) -> Result[None, str]:
        """Free a copy by its handle; a failure says why it was not freed."""

    async def copy_run(
        self,
        connect: Connect,
        address: str,
        attempt: str,
        destination: str,
        *,
        last: bool,
    ) -> Result[CopiedRun, CopyError]:
        """Copy a run to another endpoint; with `last`, stop it before.

        `address` and `destination` are the `ip:port` of endpoints. The result
        comes when the copy is complete.
        """
