"""Stand-in of a plain service, with a ledger of every call that ran."""

import sys
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import click
import curio

from turmericyard_bench.standins.process import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    apply_faults,
    error_response,
    port_options,
    run_standin,
)
from turmericyard_bench.standins.service_ledger import Run, ServiceLedger
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import (
    Request,
    Response,
    StreamResponse,
    json_response,
)

#: Concurrent calls while cold, and when warm.
DEFAULT_LIMITS = (1, 16)
#: Completed calls after which the service is warm.
WARM_AFTER_CALLS = 4
#: Run time of one call, in seconds.
DEFAULT_WORK_SECONDS = 0.02
#: Delay of a late answer, in seconds.
LATE_SECONDS = 8
#: How long an answer waits for another one to swap with, in seconds.
SWAP_SECONDS = 2


@dataclass(slots=True)
class ServiceFaults:
    """Faults set through the control port; see docs/PLATFORM.md."""

    latency_seconds: float = 0
    late_answer: bool = False
    swap_answers: bool = False
    truncate_answer: int = 0
    kill_after_run: int = 0
    cold: bool = False


@dataclass(slots=True)
class PendingSwap:
    """An answer that waits to be swapped with another one."""

    payload: Mapping[str, Any]
    swapped: Any = field(default_factory=curio.Event)


@dataclass(slots=True)
class ServiceStandIn:
    """Runs each call as a sleep and answers it, applying the faults.

    It is cold after its start and after the fault `cold`, until
    `WARM_AFTER_CALLS` calls have ended.
    """

    calls: ServiceLedger
    work_seconds: float
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    pending: PendingSwap | None = None
    warm_after: int = WARM_AFTER_CALLS

    async def answer(self, request: Request) -> Answer:
        """Answer one call."""
        if (request.method, request.path) != ('POST', '/v1/calls'):
            return error_response(NOT_FOUND, 'unknown path')
        try:
            call = Response(OK, body=request.body).json()
            run = Run(
                str(call['request']),
                call.get('key'),
                str(call['operation']),
                boot_seconds(),
            )
        except (ValueError, LookupError, TypeError):
            return error_response(BAD_REQUEST, 'malformed call')
        if not self.calls.begin(run, self.is_cold()):
            return error_response(UNAVAILABLE, 'overloaded')
        await curio.sleep(self.work_seconds + self.faults.latency_seconds)
        self.calls.end()
        outcome = {'operation': run.operation, 'echo': call.get('payload')}
        return await self.deliver({'request': run.request, 'result': outcome})

    def is_cold(self) -> bool:
        """Return whether the cold limit applies."""
        return self.calls.completed < self.warm_after

    async def deliver(self, payload: Mapping[str, Any]) -> Answer:
        """Return the answer with the faults applied."""
        if self.faults.kill_after_run:
            self.faults.kill_after_run -= 1
            raise ConnectionAbortedError
        if self.faults.late_answer:
            await curio.sleep(LATE_SECONDS)
        if self.faults.swap_answers:
            payload = await self.swap(payload)
        if self.faults.truncate_answer:
            self.faults.truncate_answer -= 1
            return truncated(json_response(OK, payload))
        return json_response(OK, payload)

    async def swap(self, payload: Mapping[str, Any]) -> Mapping[str, Any]:
        """Swap with another answer; unchanged if none comes in time."""
        other = self.pending
        if other is not None:
            self.pending = None
            other_payload = other.payload
            other.payload = payload
            await other.swapped.set()
            return other_payload
        self.pending = PendingSwap(payload)
        pending = self.pending
        await curio.ignore_after(SWAP_SECONDS, pending.swapped.wait)
        if self.pending is pending:
            self.pending = None
        return pending.payload

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Apply faults; `crash` ends the process, `cold` makes it cold."""
        settings = dict(faults)
        if settings.pop('crash', False):
            sys.exit(1)
        apply_faults(self.faults, settings)
        if self.faults.cold:
            self.faults.cold = False
            self.warm_after = self.calls.completed + WARM_AFTER_CALLS

    def ledger(self) -> Any:
        """Return the ledger of all calls."""
        return self.calls.summary()


def truncated(response: Response) -> StreamResponse:
    """Return an answer that ends after half its body by a close."""
    half = response.body[: len(response.body) // 2]
    return StreamResponse(
        response.status, send_then_close(half), dict(response.headers)
    )


async def send_then_close(chunk: bytes) -> AsyncIterator[bytes]:
    """Yield one chunk, then close the connection."""
    yield chunk
    raise ConnectionAbortedError


@click.command()
@port_options
@click.option(
    '--limits',
    type=(int, int),
    default=DEFAULT_LIMITS,
    help='Concurrent calls: while cold, and when warm.',
)
@click.option('--work-seconds', default=DEFAULT_WORK_SECONDS)
@click.option(
    '--ledger-file',
    type=click.Path(path_type=Path),
    help='File that stores the runs.',
)
def main(
    port: int,
    control_port: int,
    limits: tuple[int, int],
    work_seconds: float,
    ledger_file: Path | None,
) -> None:
    """Run the stand-in of a plain service."""
    cold_limit, limit = limits
    calls = ServiceLedger(limit, cold_limit, ledger_file)
    calls.restore()
    standin = ServiceStandIn(calls, work_seconds)
    curio.run(partial(run_standin, standin, port, control_port))


if __name__ == '__main__':
    main()
