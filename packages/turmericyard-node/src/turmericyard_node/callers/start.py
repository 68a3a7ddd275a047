"""Starts a generation at an engine and waits for its first token.

Until then, a failed generation may be placed at another engine. The failed
attempt is cancelled first.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
from returns.result import Failure, Result, Success

from turmericyard_clients.engine import GenerationStream
from turmericyard_clients.engine_errors import (
    EngineError,
    NotStarted,
    OutcomeUnknown,
)
from turmericyard_clients.engine_events import (
    Done,
    EngineFailure,
    GenerationStarted,
    StreamBroken,
    StreamEvent,
    Token,
)
from turmericyard_clients.engine_reports import GenerationStart
from turmericyard_decisions.retry import Attempt, ExecutionState, Retry
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    not_run,
    refused,
)
from turmericyard_node.endpoint_deaths import (
    record_lost_generation,
    refuse_if_quarantined,
)
from turmericyard_node.events import Event, log_event
from turmericyard_node.work import PlacedEndpoint, PlacementRefusal, Work

if TYPE_CHECKING:
    from turmericyard_node.application import Application

RETRY_AFTER_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.1


@dataclass(slots=True)
class RunningGeneration:
    """A generation with its first token; `initial_events` were read so far."""

    placed: PlacedEndpoint
    stream: GenerationStream
    restart: str = ''
    initial_events: tuple[StreamEvent, ...] = ()


async def start_generation(
    application: 'Application', work: Work
) -> RunningGeneration | Problem:
    """Return the running generation, or the problem that prevented it."""
    while True:
        if await refuse_if_quarantined(application, work):
            return refused(
                'crashes-endpoints',
                'endpoints crashed each time they ran this request: '
                'do not send it again',
            )
        placed = await application.dispatcher.place(work)
        if isinstance(placed, PlacementRefusal):
            return start_problem(
                work, placed.kind, placed.message, placed.retry_after_seconds
            )
        started = await start_at(application, work, placed)
        if isinstance(started, Success):
            running: RunningGeneration = started.unwrap()
            return running
        problem = await handle_failed_start(
            application, work, placed, started.failure()
        )
        if problem is not None:
            return problem


async def start_at(
    application: 'Application', work: Work, placed: PlacedEndpoint
) -> Result[RunningGeneration, EngineError]:
    """Start the generation at one engine and read until the first token."""
    opened = await open_stream(application, work, placed)
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    started = RunningGeneration(placed, opened.unwrap())
    trace = application.traces.add
    trace(work.request, 'started', endpoint=placed.endpoint.name)
    fault = await read_first_token(application, work, started)
    if fault is None:
        return Success(started)
    await started.stream.close()
    await record_lost_generation(
        application, placed.endpoint.name, started.restart, work.marks
    )
    return Failure(OutcomeUnknown(placed.endpoint.address, fault))


async def open_stream(
    application: 'Application', work: Work, placed: PlacedEndpoint
) -> Result[GenerationStream, EngineError]:
    """Start the generation if its permit is valid; return its stream."""
    work.attempts += 1
    configuration = application.configuration.current
    pool = configuration.pools.get(placed.endpoint.pool)
    if application.clock() >= placed.usable_until or pool is None:
        return Failure(NotStarted(placed.endpoint.address, 'permit lapsed'))
    if not configuration.in_service(placed.endpoint):
        return Failure(NotStarted(placed.endpoint.address, 'out of service'))
    start = GenerationStart(
        placed.grant.work,
        work.request,
        pool.model,
        work.prompt,
        work.max_tokens,
        work.route.priority,
        pool.adapters[0] if pool.adapters else '',
    )
    engine = application.clients.engine(placed.endpoint.address)
    return await engine.start_generation(
        start,
        application.settings.timing.stream_silence_seconds,
        lambda: application.clock() < placed.usable_until,
    )


async def read_first_token(
    application: 'Application', work: Work, started: RunningGeneration
) -> str | None:
    """Read until the first token or the end; return the fault, if any."""
    while not started.initial_events:
        left = work.deadline_at - application.clock()
        silence = application.settings.timing.stream_silence_seconds
        wait = max(min(silence, left), MIN_WAIT_SECONDS)
        try:
            async with curio.timeout_after(wait):
                events = await started.stream.read_events()
        except curio.TaskTimeout:
            return 'the engine sent nothing in time before the first token'
        except curio.CancelledError:
            await started.stream.close()
            raise
        fault = find_first_token(started, events)
        if fault is not None:
            return fault
        if left <= 0:
            return 'no token before the deadline'
    return None


def find_first_token(
    started: RunningGeneration, events: list[StreamEvent]
) -> str | None:
    """Keep the events with the first token; return the fault, if any."""
    for event in events:
        if isinstance(event, GenerationStarted):
            started.restart = event.restart
        elif isinstance(event, EngineFailure | StreamBroken):
            return f'{event} before the first token'
        elif isinstance(event, Token | Done):
            started.initial_events = tuple(events)
            return None
    return None


async def handle_failed_start(
    application: 'Application',
    work: Work,
    placed: PlacedEndpoint,
    error: EngineError,
) -> Problem | None:
    """Clean up after a failed start; return None if a retry is allowed."""
    if not isinstance(error, NotStarted):
        work.may_have_run = True
        engine = application.clients.engine(placed.endpoint.address)
        await engine.cancel_generation(placed.grant.work)
    await application.release_failed_permit(
        work, placed, error.message, certain=isinstance(error, NotStarted)
    )
    attempt = Attempt(
        work.workspace,
        work.attempts,
        idempotent=True,
        ran=ExecutionState.NOTHING,
        deadline_at=work.deadline_at,
    )
    decision = application.policy.retries.decide(attempt, application.clock())
    application.traces.add(work.request, 'retry', decision=str(decision))
    if not isinstance(decision, Retry):
        return start_problem(
            work,
            'no-endpoint',
            f'{error.message}; {decision.value}',
            RETRY_AFTER_SECONDS,
        )
    log_event(
        Event.REQUEST_RETRIED, request=work.request, message=error.message
    )
    application.metrics.retries.add(1, {'product': work.route.product})
    await curio.sleep(decision.delay_seconds)
    return None


def start_problem(
    work: Work, kind: str, message: str, retry_after: float
) -> Problem:
    """Return the problem of work that produced no first token at any engine.

    If an engine may have produced tokens that were not received, the problem
    does not claim that nothing has run.
    """
    if work.may_have_run:
        return Problem(
            Outcome.FAILED,
            kind,
            f'{message}: send a new request',
            retry_after_seconds=retry_after,
        )
    return not_run(kind, message, retry_after)
