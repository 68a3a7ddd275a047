"""The protocols that an adapter of a platform implements."""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from turmericyard_clients.store import Store
from turmericyard_http.messages import Request, Response
from turmericyard_ports.configuration import Configuration
from turmericyard_ports.endpoint import CopiedRun, CopyRefused, EndpointRecord
from turmericyard_ports.request import (
    Arrival,
    EndpointSigns,
    Headers,
    Onward,
    Verdict,
)
from turmericyard_ports.settings import ForwardingSettings


class Border(Protocol):
    """Translates between a platform's wire and the core's types."""

    #: Prefixes of the store below which the platform publishes.
    operator_prefix: str
    endpoint_prefix: str

    def read_settings(self) -> Result[ForwardingSettings, str]:
        """Return the settings of this process, or what is wrong in them."""

    def open_store(self, settings: ForwardingSettings) -> Store:
        """Return a client of the platform's store."""

    def read_configuration(
        self, key: str, value: bytes
    ) -> Result[Configuration, str] | None:
        """Return the configuration of an item; None for other items."""

    def closed_zone(self, key: str) -> str | None:
        """Return the zone that an item takes out of service, if any."""

    def read_endpoint(
        self, key: str, value: bytes
    ) -> Result[EndpointRecord, str]:
        """Return the endpoint of an item, or why it names none."""

    def read_arrival(
        self, request: Request, now: float
    ) -> Result[Arrival, Response]:
        """Return the attempt, or the answer to a malformed one."""

    def onward_headers(self, arrival: Arrival, onward: Onward) -> Headers:
        """Return the headers of the request to an endpoint."""

    def judge_answer(
        self, arrival: Arrival, status: int, headers: Headers
    ) -> Verdict:
        """Return what an endpoint's answer says of its request."""

    def endpoint_signs(self, status: int, headers: Headers) -> EndpointSigns:
        """Return what an endpoint's answer says of the endpoint itself."""

    def is_genuine(self, headers: Headers) -> bool:
        """Return whether an answer bears the endpoint's own mark."""

    def back_headers(self, headers: Headers) -> Headers:
        """Return the headers that go back to the client."""

    def refusal(
        self, status: int, detail: str, retry_after: float | None = None
    ) -> Response:
        """Return an answer of the system's own."""

    def directory_answer(
        self, addresses: Sequence[str], ttl_seconds: float
    ) -> Response:
        """Return the answer about addresses."""

    def entry_call(self, request: Request) -> str | None:
        """Return `ready`, `addresses` or None, by what is asked."""

    def asked_zone(self, request: Request) -> str:
        """Return the zone from which a client asks for addresses."""

    async def ask_endpoint(self, address: str) -> Result[EndpointSigns, str]:
        """Return what an engine says of itself, or why there is no answer."""

    async def free_copy(self, address: str, handle: str) -> Result[None, str]:
        """Free a copy by its handle, or return why it was not freed."""

    async def copy_run(
        self, address: str, attempt: str, destination: str, *, last: bool
    ) -> Result[CopiedRun, CopyRefused]:
        """Copy a run to another endpoint; `last` stops it first."""
