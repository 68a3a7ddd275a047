"""Stand-in of the platform store."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import Any

import click
import curio
from returns.pipeline import is_successful
from returns.result import Result

from turmericyard_bench.standins.call_rate import CallKind, CallRate
from turmericyard_bench.standins.process import (
    UNAVAILABLE,
    apply_faults,
    port_options,
    run_standin,
)
from turmericyard_bench.standins.store_answers import dispatch, result_response
from turmericyard_bench.standins.store_state import StoreState
from turmericyard_clients.store import StoreError, WatchBatch
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request, Response, json_response

TOO_MANY_REQUESTS = 429
RETRY_AFTER = {'retry-after': '1'}
#: Interval of checks for expired leases, in seconds.
LEASE_TICK_SECONDS = 0.02
#: Interval of checks for the end of a hang, in seconds.
HANG_TICK_SECONDS = 0.05


@dataclass(slots=True)
class StoreFaults:
    """Faults set through the control port; see docs/PLATFORM.md."""

    down: bool = False
    hang: bool = False
    latency_seconds: float = 0
    lose_answers: int = 0
    replay_old_change: bool = False


@dataclass(slots=True)
class StoreStandIn:
    """Serves a `StoreState` over HTTP, with faults and rate limits."""

    state: StoreState = field(default_factory=StoreState)
    rate: CallRate = field(default_factory=CallRate)
    faults: StoreFaults = field(default_factory=StoreFaults)
    waiters: list[Any] = field(default_factory=list)

    async def answer(self, request: Request) -> Response:
        """Answer one request; faults apply to every kind of call."""
        if self.faults.latency_seconds:
            await curio.sleep(self.faults.latency_seconds)
        while self.faults.hang:
            await curio.sleep(HANG_TICK_SECONDS)
        if self.faults.down:
            return unavailable()
        kind = call_kind(request)
        now = boot_seconds()
        if not self.rate.admit(kind, now):
            return json_response(
                TOO_MANY_REQUESTS, {'error': 'rate'}, RETRY_AFTER
            )
        self.state.expire_leases(now)
        if kind is CallKind.WATCH:
            return await self.watch(request)
        return await self.execute(request, kind, now)

    async def execute(
        self, request: Request, kind: CallKind, now: float
    ) -> Response:
        """Answer a read or a write; wake the watches after a change."""
        before = self.state.revision
        response = dispatch(self.state, request, now)
        if self.state.revision != before:
            await self.wake_watches()
        if kind is CallKind.WRITE and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ConnectionAbortedError
        return response

    async def watch(self, request: Request) -> Response:
        """Answer a watch with the next changes, or none after its wait."""
        prefix = request.query.get('prefix', '')
        after = int(request.query.get('after', '0'))
        ends_at = boot_seconds() + float(request.query.get('wait', '0'))
        while True:
            if self.faults.down:
                return unavailable()
            batch = self.state.changes_after(prefix, after)
            left = ends_at - boot_seconds()
            if left <= 0 or not is_empty(batch):
                return self.watch_response(prefix, batch)
            await self.wait_for_change(left)

    def watch_response(
        self, prefix: str, batch: Result[WatchBatch, StoreError]
    ) -> Response:
        """Return the answer to a watch, replaying an old change on fault."""
        old = self.state.oldest_change(prefix)
        if self.faults.replay_old_change and old and is_successful(batch):
            self.faults.replay_old_change = False
            current = batch.unwrap()
            replayed = WatchBatch(current.revision, (*current.changes, old))
            return result_response(Result.from_value(replayed))
        return result_response(batch)

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for the next change, at most the given number of seconds."""
        event = curio.Event()
        self.waiters.append(event)
        await curio.ignore_after(seconds, event.wait)
        if event in self.waiters:
            self.waiters.remove(event)

    async def wake_watches(self) -> None:
        """Make every waiting watch check for changes again."""
        waiters = self.waiters.copy()
        self.waiters.clear()
        for event in waiters:
            await event.set()

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Apply faults and rate limits; the data of the store stay."""
        settings = dict(faults)
        self.state.dropped_changes = settings.pop(
            'drop_changes', self.state.dropped_changes
        )
        rates: dict[str, Any] = {
            name: settings.pop(name)
            for name in ('reads_per_second', 'writes_per_second')
            if name in settings
        }
        apply_faults(self.faults, settings)
        apply_faults(self.rate, rates)
        await self.wake_watches()

    def ledger(self) -> Any:
        """Return the revision and the call counts by boot-clock second."""
        return {
            'revision': self.state.revision,
            'seconds': {
                str(second): asdict(count)
                for second, count in self.rate.seconds.items()
            },
        }

    async def expire_leases(self) -> None:
        """Revoke expired leases periodically, also while the store is down."""
        while True:
            before = self.state.revision
            self.state.expire_leases(boot_seconds())
            if self.state.revision != before:
                await self.wake_watches()
            await curio.sleep(LEASE_TICK_SECONDS)


def is_empty(batch: Result[WatchBatch, StoreError]) -> bool:
    """Return whether a watch has no changes yet."""
    return is_successful(batch) and not batch.unwrap().changes


def unavailable() -> Response:
    """Return the answer of a store that is down."""
    return json_response(UNAVAILABLE, {'error': 'down'}, RETRY_AFTER)


def call_kind(request: Request) -> CallKind:
    """Return the kind of a request for the rate limits."""
    if request.path == '/v1/watch':
        return CallKind.WATCH
    return CallKind.READ if request.method == 'GET' else CallKind.WRITE


@click.command()
@port_options
def main(port: int, control_port: int) -> None:
    """Run the stand-in of the platform store."""
    standin = StoreStandIn()
    run = partial(
        run_standin, standin, port, control_port, standin.expire_leases
    )
    curio.run(run)


if __name__ == '__main__':
    main()
