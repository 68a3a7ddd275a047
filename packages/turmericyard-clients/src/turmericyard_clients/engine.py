"""Client of one engine."""

from dataclasses import dataclass, field

import curio
import orjson
from returns.result import Failure, Result, Success

from turmericyard_clients.engine_answers import (
    OK,
    decode,
    exchange_error,
    order_outcome,
    resume_error,
    start_error,
    unexpected,
)
from turmericyard_clients.engine_errors import EngineError
from turmericyard_clients.engine_events import StreamBroken, StreamEvent
from turmericyard_clients.engine_reports import (
    LOAD,
    PREFIX_EVENTS,
    EngineLoad,
    GenerationStart,
    PrefixEvents,
    encode_start,
)
from turmericyard_clients.sse import EventParser
from turmericyard_http.client import (
    ClientStream,
    Guard,
    HttpClient,
    always,
    create_client,
)
from turmericyard_http.errors import HttpError
from turmericyard_http.messages import Response, quote_segment

#: Time limit of calls that answer at once.
CALL_TIMEOUT_SECONDS = 2.0
#: Time limit of the head of a stream.
HEAD_TIMEOUT_SECONDS = 2.0
#: Time limit of the body of a refusal.
REFUSAL_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class GenerationStream:
    """The events of one generation over one connection."""

    source: ClientStream
    parser: EventParser = field(default_factory=EventParser)

    async def read_events(self) -> list[StreamEvent]:
        """Return the next events, at least one.

        Never raises for a bad connection or a bad event: `StreamBroken` is
        the last event then.
        """
        while True:
            try:
                piece = await self.source.read()
            except (OSError, EOFError) as error:
                return [StreamBroken(str(error) or type(error).__name__)]
            if not piece:
                return [StreamBroken('stream ended')]
            events = self.parser.feed(piece)
            if events:
                return events

    async def abort(self) -> None:
        """Break the connection; a waiting `read_events` sees it broken."""
        await self.source.abort()

    async def close(self) -> None:
        """Close the connection; the generation goes on for its grace."""
        await self.source.close()


@dataclass(slots=True)
class EngineClient:
    """Calls one engine; holds only its pooled connections."""

    http: HttpClient

    @property
    def address(self) -> str:
        """Return the engine's `host:port`."""
        return self.http.address

    async def start_generation(
        self,
        start: GenerationStart,
        timeout_seconds: float = HEAD_TIMEOUT_SECONDS,
        may_send: Guard = always,
    ) -> Result[GenerationStream, EngineError]:
        """Start a generation and return its stream.

        `may_send` is asked immediately before the first byte.
        """
        opened = await self.http.open_stream(
            'POST',
            '/v1/generations',
            body=encode_start(start),
            timeout_seconds=timeout_seconds,
            may_send=may_send,
        )
        if isinstance(opened, Failure):
            return self.failure(opened)
        source = opened.unwrap()
        if source.status == OK:
            return Success(GenerationStream(source))
        body = await read_refusal(source)
        return Failure(start_error(self.address, source.status, body))

    async def resume_generation(
        self,
        generation: str,
        offset: int,
        timeout_seconds: float = HEAD_TIMEOUT_SECONDS,
    ) -> Result[GenerationStream, EngineError]:
        """Return the stream of a running generation from an offset."""
        opened = await self.http.open_stream(
            'GET',
            f'{generation_path(generation)}?offset={offset}',
            timeout_seconds=timeout_seconds,
        )
        if isinstance(opened, Failure):
            return self.failure(opened)
        source = opened.unwrap()
        if source.status == OK:
            return Success(GenerationStream(source))
        await source.close()
        return Failure(resume_error(self.address, source.status, generation))

    async def cancel_generation(
        self, generation: str
    ) -> Result[None, EngineError]:
        """End a generation; succeeds too when the engine does not know it."""
        sent = await self.call('DELETE', generation_path(generation))
        if isinstance(sent, Failure):
            return self.failure(sent)
        status = sent.unwrap().status
        if status == OK:
            return Success(None)
        return Failure(unexpected(self.address, status))

    async def load(self) -> Result[EngineLoad, EngineError]:
        """Return the engine's load report."""
        sent = await self.call('GET', '/v1/load')
        if isinstance(sent, Failure):
            return self.failure(sent)
        return decode(self.address, LOAD, sent.unwrap())

    async def cache_events(
        self, after: int
    ) -> Result[PrefixEvents, EngineError]:
        """Return the cache events published after a sequence number."""
        sent = await self.call('GET', f'/v1/cache-events?after={after}')
        if isinstance(sent, Failure):
            return self.failure(sent)
        return decode(self.address, PREFIX_EVENTS, sent.unwrap())

    async def order(
        self, kind: str, argument: str, fencing: int
    ) -> Result[None, EngineError]:
        """Order a load or change; `kind` as in docs/PLATFORM.md."""
        payload = {'fencing': fencing, 'order': kind, 'argument': argument}
        sent = await self.call('POST', '/v1/orders', orjson.dumps(payload))
        if isinstance(sent, Failure):
            return self.failure(sent)
        return order_outcome(self.address, sent.unwrap())

    async def close(self) -> None:
        """Close the idle connections."""
        await self.http.close()

    async def call(
        self, method: str, target: str, body: bytes = b''
    ) -> Result[Response, HttpError]:
        """Return a whole answer."""
        return await self.http.request(
            method,
            target,
            body=body,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )

    def failure(self, failed: Failure[HttpError]) -> Failure[EngineError]:
        """Return the engine error of a failed exchange."""
        return Failure(exchange_error(self.address, failed.failure()))


def create_engine_client(address: str) -> EngineClient:
    """Return a client of the engine at `host:port`."""
    return EngineClient(create_client(address))


async def read_refusal(source: ClientStream) -> bytes:
    """Return a refusal's body, empty when it does not come, and close."""
    try:
        return await source.read_all(REFUSAL_TIMEOUT_SECONDS)
    except (OSError, EOFError, curio.TaskTimeout):
        return b''
    finally:
        await source.close()


def generation_path(generation: str) -> str:
    """Return the path of one generation."""
    return f'/v1/generations/{quote_segment(generation)}'
