"""HTTP handler of the engine protocol."""

from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from turmericyard_bench.engine.events import RefusalKind, Refused
from turmericyard_bench.engine.prefix_cache import prefix_chain
from turmericyard_bench.engine.shape import GenerationRequest
from turmericyard_bench.standins.engine.application import EngineApplication
from turmericyard_bench.standins.engine.held import (
    HeldGeneration,
    stream_events,
)
from turmericyard_bench.standins.engine.ledger import OrderRecord
from turmericyard_bench.standins.engine.weights import ACCEPTED, CONFLICT
from turmericyard_bench.standins.process import error_response
from turmericyard_bench.transcript import (
    output_tokens,
    prompt_digest,
    text_stem,
)
from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import boot_seconds
from turmericyard_http.messages import (
    Request,
    Response,
    StreamResponse,
    json_response,
)

STREAM_HEADERS = {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
}
GENERATIONS = '/v1/generations'
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class StartBody:
    """Request body that starts a generation."""

    generation: str
    request: str
    model: str
    prompt: list[int]
    max_tokens: int
    priority: int = 1
    adapter: str = ''


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Request body of an order."""

    fencing: int
    order: str
    argument: str


START = TypeAdapter(StartBody)
ORDER = TypeAdapter(OrderBody)


@dataclass(slots=True)
class EngineProtocol:
    """Answers the requests of the engine protocol."""

    application: EngineApplication

    async def handle(self, request: Request) -> Answer:
        """Answer one request; 400 for a malformed body."""
        try:
            return await self.route(request)
        except (ValidationError, ValueError, OverflowError):
            return error_response(BAD_REQUEST, 'malformed')

    async def route(self, request: Request) -> Answer:
        """Answer by method and path; raises ValueError if malformed."""
        generation = request.path.removeprefix(f'{GENERATIONS}/')
        match request.method, request.path:
            case 'POST', '/v1/generations':
                return await self.start(START.validate_json(request.body))
            case 'GET', '/v1/load':
                return self.load()
            case 'GET', '/v1/cache-events':
                return self.cache_events(int(request.query.get('after', '0')))
            case 'POST', '/v1/orders':
                return await self.order(ORDER.validate_json(request.body))
            case 'GET', path if path != generation:
                return self.resume(
                    generation, int(request.query.get('offset', '0'))
                )
            case 'DELETE', path if path != generation:
                await self.application.cancel(generation, 'cancelled')
                return json_response(OK, {})
        return error_response(NOT_FOUND, 'unknown')

    async def start(self, body: StartBody) -> Answer:
        """Start a generation and return its stream, or refuse it."""
        application = self.application
        if not application.deployment.serves(body.model, body.adapter):
            return error_response(NOT_FOUND, 'no-model')
        if body.generation in application.held:
            return error_response(CONFLICT, 'exists')
        now = boot_seconds()
        submission = application.model.submit(
            self.generation_request(body), now
        )
        if isinstance(submission, Refused):
            return refusal_response(submission.kind)
        held = HeldGeneration(
            generation=body.generation,
            request=body.request,
            model=body.model,
            prompt=prompt_digest(body.prompt),
            stem=text_stem(body.prompt, body.generation),
            restart=submission.restart,
            accepted=now,
            abandoned_at=now,
        )
        application.held[body.generation] = held
        application.ledger.generations.append(held)
        await application.submitted.set()
        return stream_response(held, 0)

    def generation_request(self, body: StartBody) -> GenerationRequest:
        """Return the generation request for the engine model."""
        application = self.application
        return GenerationRequest(
            generation=body.generation,
            prompt_tokens=max(1, len(body.prompt)),
            output_tokens=output_tokens(
                body.prompt, body.max_tokens, application.settings.seed
            ),
            priority=body.priority,
            prefix=prefix_chain(body.prompt),
            poisonous=application.crash_marker in body.prompt,
        )

    def resume(self, generation: str, offset: int) -> Answer:
        """Stream a retained generation from an offset, with faults applied."""
        application = self.application
        held = application.held.get(generation)
        if held is None or not 0 <= offset <= held.produced:
            return error_response(NOT_FOUND, 'unknown')
        held.resumes += 1
        application.record('resume', f'{generation} {offset}')
        if application.repeated_resumes and offset:
            application.repeated_resumes -= 1
            offset -= 1
        elif application.skipped_resumes:
            application.skipped_resumes -= 1
            offset += 1
        return stream_response(held, offset)

    def load(self) -> Response:
        """Return the published load report."""
        application = self.application
        deployment = application.deployment
        now = boot_seconds()
        report = application.model.load_report(now)
        lag = application.model.history.lag_seconds
        return json_response(
            OK,
            {
                'restart': report.restart,
                'age_seconds': max(lag, 0),
                'running': report.running,
                'waiting': report.waiting,
                'resident_tokens': report.resident_tokens,
                'memory_tokens': report.memory_tokens,
                'preemptions': report.preemptions,
                'model': deployment.model,
                'version': deployment.version,
                'adapters': deployment.adapters,
                'role': deployment.role,
                'fencing': deployment.highest_fencing,
                'leaving': application.is_leaving,
                'generations': report.generations,
            },
        )

    def cache_events(self, after: int) -> Response:
        """Return the published cache events after a sequence number."""
        cache = self.application.model.cache
        events = cache.events_after(after, boot_seconds())
        return json_response(
            OK,
            {
                'next': events[-1].sequence if events else after,
                'events': [
                    {
                        'sequence': event.sequence,
                        'kind': event.kind,
                        'prefix': f'{event.prefix:016x}',
                    }
                    for event in events
                ],
            },
        )

    async def order(self, body: OrderBody) -> Response:
        """Execute or refuse an order and record it in the ledger."""
        application = self.application
        deployment = application.deployment
        now = boot_seconds()
        status = deployment.take_order(
            body.fencing, body.order, body.argument, application.model, now
        )
        if status == ACCEPTED:
            status = await application.start_load()
        application.ledger.orders.append(
            OrderRecord(now, body.fencing, body.order, body.argument, status)
        )
        if status == CONFLICT:
            return json_response(
                status, {'fencing': deployment.highest_fencing}
            )
        return json_response(status, {}, {'retry-after': '1'})


def stream_response(held: HeldGeneration, offset: int) -> StreamResponse:
    """Return the stream of a generation from an offset."""
    chunks = stream_events(held, offset, boot_seconds)
    return StreamResponse(OK, chunks, dict(STREAM_HEADERS))


def refusal_response(kind: RefusalKind) -> Response:
    """Return the answer to a start that was refused."""
    if kind is RefusalKind.TOO_LONG:
        return error_response(BAD_REQUEST, kind.value)
    return error_response(UNAVAILABLE, kind.value)
