"""Client of the platform's list of live and leaving VMs.

The list lags behind the state of the VMs.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from turmericyard_http.client import HttpClient
from turmericyard_http.messages import Response

OK = 200
TIMEOUT_SECONDS = 2


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the list; `address` is an IP address."""

    name: str
    address: str
    zone: str
    state: VmState


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The list could not be read."""

    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'VM list unavailable ({self.detail}): the last list stays in use'
        )


class VmList(Protocol):
    """Reads the list of VMs."""

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListUnavailable]:
        """Return every VM that the platform lists."""


@dataclass(slots=True)
class HttpVmList:
    """Implements `VmList` over HTTP.

    A response equal to the last one is not decoded again: the same tuple is
    returned.
    """

    client: HttpClient
    last_body: bytes = b''
    last_vms: tuple[Vm, ...] = ()

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListUnavailable]:
        """Return every VM that the platform lists."""
        result = await self.client.request(
            'GET', '/v1/vms', timeout_seconds=TIMEOUT_SECONDS
        )
        checked: Result[Response, VmListUnavailable] = result.alt(
            lambda error: VmListUnavailable(error.message)
        )
        return checked.bind(self.decode)

    def decode(
        self, response: Response
    ) -> Result[tuple[Vm, ...], VmListUnavailable]:
        """Return the list of a response."""
        if response.status == OK and response.body == self.last_body:
            return Success(self.last_vms)
        decoded = decode_vms(response)
        if isinstance(decoded, Success):
            self.last_body = response.body
            self.last_vms = decoded.unwrap()
        return decoded


def open_vm_list(address: str) -> VmList:
    """Return a client of the VM list; nothing is sent before a call."""
    return HttpVmList(HttpClient(address))


def decode_vms(
    response: Response,
) -> Result[tuple[Vm, ...], VmListUnavailable]:
    """Decode the complete list."""
    if response.status != OK:
        return Failure(VmListUnavailable(f'status {response.status}'))
    try:
        rows = response.json()['vms']
        return Success(tuple(decode_vm(row) for row in rows))
    except (ValueError, KeyError, TypeError):
        return Failure(VmListUnavailable('malformed response'))


def decode_vm(row: Mapping[str, Any]) -> Vm:
    """Decode one VM of the list."""
    return Vm(
        str(row['name']),
        str(row['address']),
        str(row['zone']),
        VmState(row['state']),
    )
