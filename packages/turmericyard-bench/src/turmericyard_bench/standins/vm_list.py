"""Stand-in of the platform's VM list, whose changes can show with a lag."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import click
import curio

from turmericyard_bench.standins.process import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    apply_faults,
    error_response,
    port_options,
    run_standin,
)
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request, Response, json_response

VM_FIELDS = ('name', 'address', 'zone', 'state')


@dataclass(slots=True)
class VmListFaults:
    """Faults set through the control port."""

    down: bool = False
    lag_seconds: float = 0


@dataclass(frozen=True, slots=True)
class VmChange:
    """Changed fields of one VM, known from `known_at` (boot-clock seconds)."""

    known_at: float
    fields: Mapping[str, str]


@dataclass(slots=True)
class VmListState:
    """Changes of VMs; an answer shows those older than the lag."""

    changes: list[VmChange] = field(default_factory=list)

    def record_change(self, fields: Mapping[str, str], now: float) -> None:
        """Record that a VM was added or changed; `fields` has its name."""
        self.changes.append(VmChange(now, dict(fields)))

    def rows(self, now: float, lag_seconds: float) -> list[dict[str, str]]:
        """Return one row per VM as known `lag_seconds` ago."""
        row_by_name: dict[str, dict[str, str]] = {}
        for change in self.changes:
            if change.known_at > now - lag_seconds:
                break
            row = row_by_name.setdefault(change.fields['name'], empty_row())
            row.update(change.fields)
        return list(row_by_name.values())


@dataclass(slots=True)
class VmListStandIn:
    """Serves a `VmListState` with faults."""

    state: VmListState = field(default_factory=VmListState)
    faults: VmListFaults = field(default_factory=VmListFaults)

    async def answer(self, request: Request) -> Response:
        """Answer the one request of the protocol."""
        if self.faults.down:
            return error_response(UNAVAILABLE, 'down')
        if (request.method, request.path) != ('GET', '/v1/vms'):
            return error_response(NOT_FOUND, 'unknown path')
        shown = self.state.rows(boot_seconds(), self.faults.lag_seconds)
        return json_response(OK, {'vms': shown})

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Apply faults or, with a `vm`, record the change of that VM."""
        if 'vm' not in faults:
            apply_faults(self.faults, faults)
            return
        fields = {
            name: str(setting)
            for name, setting in faults.items()
            if name in VM_FIELDS
        }
        fields['name'] = str(faults['vm'])
        self.state.record_change(fields, boot_seconds())

    def ledger(self) -> Any:
        """Return every change of a VM with its time."""
        return [
            {'at': change.known_at, **change.fields}
            for change in self.state.changes
        ]


def empty_row() -> dict[str, str]:
    """Return the initial row of a VM."""
    return {'name': '', 'address': '', 'zone': '', 'state': 'live'}


def parse_vm(text: str) -> dict[str, str]:
    """Return the fields of a live VM given as `NAME,ADDRESS,ZONE`."""
    name, address, zone = text.split(',')
    return {'name': name, 'address': address, 'zone': zone, 'state': 'live'}


@click.command()
@port_options
@click.option('--vm', multiple=True, help='A live VM: NAME,ADDRESS,ZONE.')
def main(port: int, control_port: int, vm: tuple[str, ...]) -> None:
    """Run the stand-in of the VM list."""
    standin = VmListStandIn()
    for text in vm:
        standin.state.record_change(parse_vm(text), 0)
    curio.run(partial(run_standin, standin, port, control_port))


if __name__ == '__main__':
    main()
