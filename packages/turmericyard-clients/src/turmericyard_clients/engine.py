"""Client of one engine."""

from dataclasses import dataclass, field

import curio
import orjson
from returns.result import Failure, Result, Success

from turmericyard_clients.engine_errors import EngineError
from turmericyard_clients.engine_events import StreamBroken, StreamEvent
from turmericyard_clients.engine_reports import (
    LOAD_ADAPTER,
    PREFIX_EVENTS_ADAPTER,
    EngineLoad,
    GenerationStart,
    PrefixEvents,
    encode_start,
)
from turmericyard_clients.engine_responses import (
    OK,
    decode_response,
    exchange_error,
    order_result,
    resume_error,
    start_error,
    unexpected_status,
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

#: Time limit of calls that the engine answers at once.
CALL_TIMEOUT_SECONDS = 2.0
#: How often a cancel without a reply is repeated.
CANCEL_REPEATS = 1
#: Time limit for the head of a stream.
HEAD_TIMEOUT_SECONDS = 2.0
#: Time limit for the body of an error response.
ERROR_BODY_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class GenerationStream:
    """The events of one generation, read from one connection."""

    source: ClientStream
    parser: EventParser = field(default_factory=EventParser)

    async def read_events(self) -> list[StreamEvent]:
        """Return the next events, at least one.

        A failed connection or a malformed event raises no error: the last
        event is `StreamBroken` then.
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
        """Abort the connection; a waiting `read_events` returns `StreamBroken`."""
        await self.source.abort()

    async def close(self) -> None:
        """Close the connection; the generation runs on for its grace period."""
        await self.source.close()


@dataclass(slots=True)
class EngineClient:
    """Calls one engine; its only state is a pool of connections."""

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

        `may_send` is called immediately before the first byte is sent.
        """
        result = await self.http.open_stream(
            'POST',
            '/v1/generations',
            body=encode_start(start),
            timeout_seconds=timeout_seconds,
            may_send=may_send,
        )
        if isinstance(result, Failure):
            return self.engine_failure(result)
        source = result.unwrap()
        if source.status == OK:
            return Success(GenerationStream(source))
        body = await read_error_body(source)
        return Failure(start_error(self.address, source.status, body))

    async def resume_generation(
        self,
        generation: str,
        offset: int,
        timeout_seconds: float = HEAD_TIMEOUT_SECONDS,
    ) -> Result[GenerationStream, EngineError]:
        """Return the stream of a running generation from an offset."""
        result = await self.http.open_stream(
            'GET',
            f'{generation_path(generation)}?offset={offset}',
            timeout_seconds=timeout_seconds,
        )
        if isinstance(result, Failure):
            return self.engine_failure(result)
        source = result.unwrap()
        if source.status == OK:
            return Success(GenerationStream(source))
        await source.close()
        return Failure(resume_error(self.address, source.status, generation))

    async def cancel_generation(
        self, generation: str
    ) -> Result[None, EngineError]:
        """Cancel a generation; succeeds also when the engine does not know it.

        A cancel without a reply may not have reached the engine: it is
        repeated, each time on a new connection.
        """
        target = generation_path(generation)
        result = await self.call('DELETE', target, fresh=True)
        for _ in range(CANCEL_REPEATS):
            if isinstance(result, Success):
                break
            result = await self.call('DELETE', target, fresh=True)
        if isinstance(result, Failure):
            return self.engine_failure(result)
        status = result.unwrap().status
        if status == OK:
            return Success(None)
        return Failure(unexpected_status(self.address, status))

    async def load(self) -> Result[EngineLoad, EngineError]:
        """Return the engine's load report."""
        result = await self.call('GET', '/v1/load')
        if isinstance(result, Failure):
            return self.engine_failure(result)
        return decode_response(self.address, LOAD_ADAPTER, result.unwrap())

    async def cache_events(
        self, after: int
    ) -> Result[PrefixEvents, EngineError]:
        """Return the cache events published after a sequence number."""
        result = await self.call('GET', f'/v1/cache-events?after={after}')
        if isinstance(result, Failure):
            return self.engine_failure(result)
        return decode_response(
            self.address, PREFIX_EVENTS_ADAPTER, result.unwrap()
        )

    async def order(
        self, kind: str, argument: str, fencing: int
    ) -> Result[None, EngineError]:
        """Send an order of a `kind` that docs/PLATFORM.md lists.

        `fencing` is the fencing number of the sender.
        """
        payload = {'fencing': fencing, 'order': kind, 'argument': argument}
        result = await self.call('POST', '/v1/orders', orjson.dumps(payload))
        if isinstance(result, Failure):
            return self.engine_failure(result)
        return order_result(self.address, result.unwrap())

    async def close(self) -> None:
        """Close the idle connections."""
        await self.http.close()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        fresh: bool = False,
    ) -> Result[Response, HttpError]:
        """Send a request and return its complete response.

        `fresh` opens a new connection.
        """
        return await self.http.request(
            method,
            target,
            body=body,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            fresh=fresh,
        )

    def engine_failure(
        self, failed: Failure[HttpError]
    ) -> Failure[EngineError]:
        """Return the engine error of a failed exchange."""
        return Failure(exchange_error(self.address, failed.failure()))


def create_engine_client(address: str) -> EngineClient:
    """Return a client of the engine at `host:port`."""
    return EngineClient(create_client(address))


async def read_error_body(source: ClientStream) -> bytes:
    """Return the body of an error response and close the connection.

    The body is empty when it does not arrive in time.
    """
    try:
        return await source.read_all(ERROR_BODY_TIMEOUT_SECONDS)
    except (OSError, EOFError, curio.TaskTimeout):
        return b''
    finally:
        await source.close()


def generation_path(generation: str) -> str:
    """Return the path of one generation."""
    return f'/v1/generations/{quote_segment(generation)}'
