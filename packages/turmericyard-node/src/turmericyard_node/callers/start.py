"""Starts a generation at an engine and waits for its first token.

Until then it may be placed elsewhere; the failed attempt is cancelled first.
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
from turmericyard_decisions.retry import Attempt, Ran, Retry
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    not_run,
    refused,
)
from turmericyard_node.deaths import refuses, report_lost
from turmericyard_node.events import Event, log_event
from turmericyard_node.work import NoSlot, Slot, Work

if TYPE_CHECKING:
    from turmericyard_node.application import Application

RETRY_AFTER_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.1


@dataclass(slots=True)
class Started:
    """A generation that produced its first token, and what was read of it."""

    slot: Slot
    stream: GenerationStream
    restart: str = ''
    early: tuple[StreamEvent, ...] = ()


async def start_generation(
    application: 'Application', work: Work
) -> Started | Problem:
    """Return the running generation, or why there is none."""
    while True:
        if await refuses(application, work):
            return refused(
                'crashes-endpoints',
                'endpoints died each time it ran: do not send it again',
            )
        slot = await application.dispatcher.place(work)
        if isinstance(slot, NoSlot):
            return unplaced(
                work, slot.kind, slot.message, slot.retry_after_seconds
            )
        started = await start_at(application, work, slot)
        if isinstance(started, Success):
            running: Started = started.unwrap()
            return running
        problem = await after_failure(
            application, work, slot, started.failure()
        )
        if problem is not None:
            return problem


async def start_at(
    application: 'Application', work: Work, slot: Slot
) -> Result[Started, EngineError]:
    """Start at one engine and read until the first token."""
    opened = await open_stream(application, work, slot)
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    started = Started(slot, opened.unwrap())
    trace = application.traces.add
    trace(work.request, 'started', endpoint=slot.endpoint.name)
    fault = await read_first(application, work, started)
    if fault is None:
        return Success(started)
    await started.stream.close()
    await report_lost(
        application, slot.endpoint.name, started.restart, work.marks
    )
    return Failure(OutcomeUnknown(slot.endpoint.address, fault))


async def open_stream(
    application: 'Application', work: Work, slot: Slot
) -> Result[GenerationStream, EngineError]:
    """Start the generation under its permit, which must still be valid."""
    work.attempts += 1
    configuration = application.configuration.current
    pool = configuration.pools.get(slot.endpoint.pool)
    if application.clock() >= slot.usable_until or pool is None:
        return Failure(NotStarted(slot.endpoint.address, 'permit lapsed'))
    if not configuration.in_service(slot.endpoint):
        return Failure(NotStarted(slot.endpoint.address, 'out of service'))
    start = GenerationStart(
        slot.grant.work,
        work.request,
        pool.model,
        work.prompt,
        work.max_tokens,
        work.route.priority,
        pool.adapters[0] if pool.adapters else '',
    )
    engine = application.clients.engine(slot.endpoint.address)
    return await engine.start_generation(
        start,
        application.settings.timing.stream_silence_seconds,
        lambda: application.clock() < slot.usable_until,
    )


async def read_first(
    application: 'Application', work: Work, started: Started
) -> str | None:
    """Read until the first token or the end; return what went wrong."""
    while not started.early:
        left = work.deadline_at - application.clock()
        silence = application.settings.timing.stream_silence_seconds
        wait = max(min(silence, left), MIN_WAIT_SECONDS)
        try:
            async with curio.timeout_after(wait):
                events = await started.stream.read_events()
        except curio.TaskTimeout:
            return 'silent before the first token'
        except curio.CancelledError:
            await started.stream.close()
            raise
        fault = take_first(started, events)
        if fault is not None:
            return fault
        if left <= 0:
            return 'no token before the deadline'
    return None


def take_first(started: Started, events: list[StreamEvent]) -> str | None:
    """Keep events with the first token; return what went wrong."""
    for event in events:
        if isinstance(event, GenerationStarted):
            started.restart = event.restart
        elif isinstance(event, EngineFailure | StreamBroken):
            return f'{event} before the first token'
        elif isinstance(event, Token | Done):
            started.early = tuple(events)
            return None
    return None


async def after_failure(
    application: 'Application', work: Work, slot: Slot, error: EngineError
) -> Problem | None:
    """Undo a failed start; None when the work may be placed again."""
    if not isinstance(error, NotStarted):
        work.may_have_run = True
        engine = application.clients.engine(slot.endpoint.address)
        await engine.cancel_generation(slot.grant.work)
    await application.release_failed(
        work, slot, error.message, certain=isinstance(error, NotStarted)
    )
    attempt = Attempt(
        work.workspace,
        work.attempts,
        idempotent=True,
        ran=Ran.NOTHING,
        deadline_at=work.deadline_at,
    )
    decision = application.policy.retries.decide(attempt, application.clock())
    application.traces.add(work.request, 'retry', decision=str(decision))
    if not isinstance(decision, Retry):
        return unplaced(
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


def unplaced(
    work: Work, kind: str, message: str, retry_after: float
) -> Problem:
    """Return the answer for work that no engine took to its first token.

    An engine may have produced tokens that nobody received; then the answer
    does not say that nothing ran.
    """
    if work.may_have_run:
        return Problem(
            Outcome.FAILED,
            kind,
            f'{message}: ask anew',
            retry_after_seconds=retry_after,
        )
    return not_run(kind, message, retry_after)
