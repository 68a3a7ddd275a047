"""Process that keeps a number of streams open and measures them.

`python -m turmericyard_bench.costs.reader` runs for a fixed time and then
prints one JSON line. It does as little work per token as possible, so that
the measured process saturates first: it counts token events, and checks only
that their number equals the one that the last event of the stream states.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any
from uuid import uuid4

import click
import curio
import orjson
from returns.result import Success

from turmericyard_bench.costs.tables import MODEL, PRODUCT, workspace_name
from turmericyard_bench.meter import Meter
from turmericyard_bench.transcript import length_word, text_tokens
from turmericyard_http.client import ClientStream, create_client
from turmericyard_http.clock import boot_seconds

OK = 200
TOKEN_MARKER = b'"offset":'
FIRST_TOKEN_MARKER = b'"text":'
DONE_MARKER = b'event: done\ndata: '
TIMEOUT_SECONDS = 60.0
DEFAULT_LENGTH = 200
FAILURE_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ReaderSettings:
    """What to read; the addresses are of engines if `direct`, else of nodes."""

    addresses: tuple[str, ...]
    direct: bool
    streams: int
    length: int
    warm_seconds: float
    seconds: float
    workspaces: int
    seed: int
    pause_seconds: float = 0


@dataclass(slots=True)
class Reader:
    """Reads streams for a fixed time; `meter` excludes the warm-up."""

    settings: ReaderSettings
    meter: Meter = field(default_factory=Meter)
    numbers: Iterator[int] = field(default_factory=count)

    async def run(self) -> None:
        """Keep the streams open for the warm-up and the measured time."""
        measured_from = boot_seconds() + self.settings.warm_seconds
        async with curio.TaskGroup(wait=None) as group:
            for index in range(self.settings.streams):
                await group.spawn(self.keep_open, index)
            await curio.sleep(measured_from - boot_seconds())
            self.meter = Meter()
            await curio.sleep(self.settings.seconds)

    async def keep_open(self, index: int) -> None:
        """Read streams in sequence, without end."""
        rng = random.Random(f'{self.settings.seed}:{index}')
        addresses = self.settings.addresses
        address = addresses[index % len(addresses)]
        await curio.sleep(rng.random())
        while True:
            outcome = await self.read_stream(address, rng)
            self.meter.outcomes[outcome] += 1
            if outcome != 'done':
                await curio.sleep(FAILURE_PAUSE_SECONDS)
            elif self.settings.pause_seconds:
                await curio.sleep(self.settings.pause_seconds)

    async def read_stream(self, address: str, rng: random.Random) -> str:
        """Read one stream to its end and return its outcome."""
        target, body = self.create_request(rng)
        started = boot_seconds()
        opened = await create_client(address).open_stream(
            'POST', target, body=body, timeout_seconds=TIMEOUT_SECONDS
        )
        if not isinstance(opened, Success):
            return 'lost'
        stream = opened.unwrap()
        try:
            if stream.status != OK:
                return f'status-{stream.status}'
            return await self.read_body(stream, started)
        except (OSError, EOFError):
            return 'broken'
        finally:
            await stream.close()

    async def read_body(self, stream: ClientStream, started: float) -> str:
        """Record the tokens of a stream in the meter; return the outcome."""
        last: float = 0
        tokens = 0
        while True:
            chunk = await stream.read()
            if not chunk:
                return 'cut'
            received = chunk.count(FIRST_TOKEN_MARKER)
            if received:
                now = boot_seconds()
                tokens += received
                self.meter.tokens += received
                if last:
                    self.meter.record_interval((now - last) / received)
                else:
                    self.meter.record_first(now - started)
                last = now
            if DONE_MARKER in chunk:
                self.meter.record_whole(boot_seconds() - started)
                return self.check_end(chunk, tokens)

    def check_end(self, chunk: bytes, tokens: int) -> str:
        """Return the outcome, by the number of tokens that the end states."""
        end = orjson.loads(chunk.partition(DONE_MARKER)[2])
        return 'done' if end['tokens'] == tokens else 'miscounted'

    def create_request(self, rng: random.Random) -> tuple[str, bytes]:
        """Return the target and body of the next request."""
        number = next(self.numbers)
        prompt = f'{rng.random()} {number} {length_word(self.settings.length)}'
        if not self.settings.direct:
            workspace = rng.randrange(self.settings.workspaces)
            return '/v1/generate', orjson.dumps(
                {
                    'product': PRODUCT,
                    'workspace': workspace_name(workspace),
                    'prompt': prompt,
                    'max_tokens': self.settings.length,
                }
            )
        return '/v1/generations', orjson.dumps(
            {
                'generation': uuid4().hex,
                'request': f'direct-{number}',
                'model': MODEL,
                'prompt': text_tokens(prompt),
                'max_tokens': self.settings.length,
            }
        )


def run_reader(**options: Any) -> None:
    """Read streams for a fixed time and print the meter as JSON."""
    reader = Reader(ReaderSettings(**options))
    curio.run(reader.run)
    click.echo(orjson.dumps(reader.meter.encode()).decode())


main = click.Command(
    'reader',
    params=[
        click.Option(['--address', 'addresses'], multiple=True, required=True),
        click.Option(['--direct'], is_flag=True, help='Engine addresses.'),
        click.Option(['--streams'], default=1),
        click.Option(['--length'], default=DEFAULT_LENGTH, help='Tokens.'),
        click.Option(['--warm-seconds'], default=3, type=float),
        click.Option(['--seconds'], default=10, type=float),
        click.Option(['--workspaces'], default=1),
        click.Option(['--seed'], default=1),
        click.Option(['--pause-seconds'], default=0, type=float),
    ],
    callback=run_reader,
    help='Keep streams open for a fixed time and print the measurements.',
)

if __name__ == '__main__':
    main()
