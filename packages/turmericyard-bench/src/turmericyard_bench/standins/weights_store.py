"""Stand-in of the weights store, whose loads share one limited rate.

`GET /v1/weights/MODEL/VERSION?engine=NAME` streams the weights in chunks. Above
the limit of concurrent loads it answers 429 `{"error": "slow-down"}`.
"""

from collections.abc import AsyncIterator, Mapping
from dataclasses import asdict, dataclass, field
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
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import Request, StreamResponse, json_response

TOO_MANY_REQUESTS = 429
RETRY_AFTER = {'retry-after': '1'}
SIZE_HEADER = 'x-size'
PREFIX = '/v1/weights/'
#: Small, so that an answer starts early even at a low rate.
CHUNK_BYTES = 16_384


@dataclass(slots=True)
class WeightsLimits:
    """Limits and faults, which the control port can change."""

    size_bytes: int = 4_194_304
    bytes_per_second: float = 1_048_576
    loads_at_once: int = 2
    down: bool = False


@dataclass(slots=True)
class WeightsLoad:
    """One load; times in boot-clock seconds, `ended` is None while it runs.

    A load that ended with less than its size was interrupted by its engine.
    """

    engine: str
    model: str
    version: str
    began: float
    size_bytes: int
    sent_bytes: int = 0
    ended: float | None = None


@dataclass(slots=True)
class WeightsStandIn:
    """Sends weights; `rate_free_at` is when the next chunk may go."""

    limits: WeightsLimits = field(default_factory=WeightsLimits)
    loads: list[WeightsLoad] = field(default_factory=list)
    rate_free_at: float = 0
    most_at_once: int = 0
    refused: int = 0

    async def answer(self, request: Request) -> Answer:
        """Start one load, or refuse it."""
        if self.limits.down:
            return error_response(UNAVAILABLE, 'down')
        model, _, version = request.path.removeprefix(PREFIX).partition('/')
        if not request.path.startswith(PREFIX) or not version:
            return error_response(NOT_FOUND, 'unknown path')
        running = self.running()
        if running >= self.limits.loads_at_once:
            self.refused += 1
            return json_response(
                TOO_MANY_REQUESTS, {'error': 'slow-down'}, RETRY_AFTER
            )
        self.most_at_once = max(self.most_at_once, running + 1)
        size = self.limits.size_bytes
        engine = request.query.get('engine', '')
        load = WeightsLoad(engine, model, version, boot_seconds(), size)
        self.loads.append(load)
        return StreamResponse(OK, self.send(load), {SIZE_HEADER: str(size)})

    def running(self) -> int:
        """Return the number of loads in progress."""
        return sum(load.ended is None for load in self.loads)

    async def send(self, load: WeightsLoad) -> AsyncIterator[bytes]:
        """Yield the chunks of a load, each when the rate allows it."""
        try:
            while load.sent_bytes < load.size_bytes:
                left = load.size_bytes - load.sent_bytes
                chunk = bytes(min(CHUNK_BYTES, left))
                await self.wait_for_rate(len(chunk))
                load.sent_bytes += len(chunk)
                yield chunk
        finally:
            load.ended = boot_seconds()

    async def wait_for_rate(self, size: int) -> None:
        """Wait until the rate shared by all loads allows the chunk."""
        now = boot_seconds()
        seconds = size / self.limits.bytes_per_second
        self.rate_free_at = max(self.rate_free_at, now) + seconds
        await curio.sleep(self.rate_free_at - now)

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Change limits; raises ValueError for an unknown one."""
        apply_faults(self.limits, faults)

    def ledger(self) -> Any:
        """Return all loads, the peak concurrency and the refused count."""
        return {
            'now': boot_seconds(),
            'loads': [asdict(load) for load in self.loads],
            'most_at_once': self.most_at_once,
            'refused': self.refused,
        }


@click.command()
@port_options
@click.option('--size-bytes', default=WeightsLimits().size_bytes)
@click.option('--bytes-per-second', default=WeightsLimits().bytes_per_second)
@click.option('--loads-at-once', default=WeightsLimits().loads_at_once)
def main(port: int, control_port: int, **limits: Any) -> None:
    """Run the stand-in of the weights store."""
    standin = WeightsStandIn(WeightsLimits(**limits))
    curio.run(partial(run_standin, standin, port, control_port))


if __name__ == '__main__':
    main()
