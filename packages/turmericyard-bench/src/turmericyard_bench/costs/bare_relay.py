"""Process that relays generations without any decisions.

It is the baseline of the relay benchmark: the product's own HTTP server and
engine client, without routes, permits, resumes or metrics.
"""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass
from uuid import uuid4

import click
import curio
import orjson
from returns.result import Success

from turmericyard_bench.costs.tables import MODEL
from turmericyard_bench.transcript import text_tokens
from turmericyard_clients.engine import (
    GenerationStream,
    create_engine_client,
)
from turmericyard_clients.engine_events import Done, StreamBroken, Token
from turmericyard_clients.engine_reports import GenerationStart
from turmericyard_http.answer_writer import Answer
from turmericyard_http.messages import (
    Request,
    StreamResponse,
    json_response,
)
from turmericyard_http.server import (
    listener_port,
    open_listener,
    serve_http,
)

OK = 200
UNAVAILABLE = 503


@dataclass(slots=True)
class BareRelay:
    """Relays each generation from an engine chosen at random."""

    engines: tuple[str, ...]
    rng: random.Random

    async def handle(self, request: Request) -> Answer:
        """Start a generation and return its stream."""
        body = orjson.loads(request.body)
        client = create_engine_client(self.rng.choice(self.engines))
        start = GenerationStart(
            uuid4().hex,
            'bare',
            MODEL,
            text_tokens(body['prompt']),
            body['max_tokens'],
        )
        opened = await client.start_generation(start)
        if not isinstance(opened, Success):
            return json_response(UNAVAILABLE, {'error': 'not started'})
        return StreamResponse(
            OK, relay(opened.unwrap()), {'content-type': 'text/event-stream'}
        )


async def relay(stream: GenerationStream) -> AsyncIterator[bytes]:
    """Yield the events in the form in which they were received."""
    try:
        while True:
            events = await stream.read_events()
            raw = b''.join(
                event.raw for event in events if isinstance(event, Token)
            )
            if raw:
                yield raw
            last = events[-1]
            if isinstance(last, Done):
                end = orjson.dumps({'tokens': last.tokens})
                yield b'event: done\ndata: %b\n\n' % end
                return
            if isinstance(last, StreamBroken):
                return
    finally:
        await stream.close()


@click.command()
@click.option('--engine', 'engines', multiple=True, required=True)
def main(engines: tuple[str, ...]) -> None:
    """Print `ready PORT` and relay until stopped."""
    curio.run(run, engines)


async def run(engines: tuple[str, ...]) -> None:
    """Serve until cancelled."""
    listener = open_listener('127.0.0.1', 0)
    click.echo(f'ready {listener_port(listener)}')
    await serve_http(listener, BareRelay(engines, random.Random(1)).handle)


if __name__ == '__main__':
    main()
