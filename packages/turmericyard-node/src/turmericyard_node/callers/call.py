"""Calls of plain services, run at most once unless the route is idempotent."""

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import curio
import orjson
from returns.result import Failure, Result, Success

from turmericyard_clients.service import (
    CallNotRun,
    ServiceAnswer,
    ServiceCall,
    call_service,
)
from turmericyard_decisions.quarantine import request_marks
from turmericyard_decisions.retry import Attempt, ExecutionState, Retry
from turmericyard_http.messages import Request, Response
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    done_response,
    not_run,
    problem_response,
    refused,
)
from turmericyard_node.callers.bodies import (
    MAX_KEY_CHARACTERS,
    CallBody,
    parse_body,
)
from turmericyard_node.callers.claiming import claim_key
from turmericyard_node.callers.matching import deadline_of, match_route
from turmericyard_node.claims import ClaimGranted
from turmericyard_node.endpoint_deaths import refuse_if_quarantined
from turmericyard_node.work import PlacedEndpoint, PlacementRefusal, Work
from turmericyard_protocol.messages import PermitRelease
from turmericyard_tables.models import WorkKind

if TYPE_CHECKING:
    from turmericyard_node.application import Application

RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class Call:
    """A matched call; one that is not idempotent holds a `claim` on its key."""

    body: CallBody
    key: str
    work: Work
    claim: ClaimGranted | None = None

    @property
    def idempotent(self) -> bool:
        """Return whether the call may run more than once."""
        return self.work.route.idempotent


async def call(
    application: 'Application', request: Request, request_id: str
) -> Response:
    """Answer a call of a service."""
    prepared = prepare(application, request, request_id)
    if not isinstance(prepared, Success):
        return problem_response(prepared.failure(), request_id)
    matched = prepared.unwrap()
    if not matched.idempotent:
        claimed = await claim_key(
            application, request_id, matched.key, matched.body
        )
        if isinstance(claimed, Response):
            return claimed
        if isinstance(claimed, Problem):
            application.count(matched.body.product, claimed.outcome)
            return problem_response(claimed, request_id)
        matched.claim = claimed
    answered = await run_call(application, matched)
    return await finish_call(application, matched, answered)


def prepare(
    application: 'Application', request: Request, request_id: str
) -> Result[Call, Problem]:
    """Return the matched call of a request."""
    parsed = parse_body(CallBody, request.body)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    body = parsed.unwrap()
    matched = match_route(
        application.configuration.current,
        body.product,
        body.workspace,
        WorkKind.SERVICE,
    )
    if not isinstance(matched, Success):
        return Failure(matched.failure())
    route, workspace = matched.unwrap()
    key = request.headers.get('idempotency-key', '')
    if not route.idempotent and not key:
        return Failure(
            refused('key-required', 'send an Idempotency-Key header')
        )
    if len(key) > MAX_KEY_CHARACTERS:
        return Failure(
            refused(
                'key-too-long',
                'the Idempotency-Key header may have at most 200 characters',
            )
        )
    now = application.clock()
    deadline = deadline_of(body, route)
    work = Work(
        request_id,
        route,
        workspace.name,
        workspace.weight,
        request_marks(workspace.name, key or request_id, request.body),
        now,
        now + deadline,
    )
    return Success(Call(body, key, work))


async def run_call(
    application: 'Application', matched: Call
) -> ServiceAnswer | Problem:
    """Run the call at an endpoint; retry it only where that is safe."""
    while True:
        work = matched.work
        if await refuse_if_quarantined(application, work):
            return refused(
                'crashes-endpoints',
                'endpoints crashed each time they ran this request: '
                'do not send it again',
            )
        placed = await application.dispatcher.place(work)
        if isinstance(placed, PlacementRefusal):
            return not_run(
                placed.kind, placed.message, placed.retry_after_seconds
            )
        sent = await send_call(application, matched, placed)
        if isinstance(sent, ServiceAnswer):
            return sent
        problem = await decide_retry(application, matched, sent)
        if problem is not None:
            return problem


async def send_call(
    application: 'Application', matched: Call, placed: PlacedEndpoint
) -> ServiceAnswer | Problem:
    """Send the call while its permit and its claim are valid."""
    work = matched.work
    if application.clock() >= placed.usable_until:
        await application.release_unused_permit(work, placed)
        return not_run(
            'permit-lapsed', 'the permit lapsed before the call was sent', 0
        )
    if matched.claim and not application.claims.may_send(matched.claim):
        await application.release_unused_permit(work, placed)
        return not_run(
            'claim-too-old',
            'the claim on the key was too old to send the call',
            0,
        )
    work.attempts += 1
    answered = await call_service(
        application.clients.service(placed.endpoint.address),
        ServiceCall(
            work.request,
            matched.body.operation,
            matched.body.payload,
            None if matched.idempotent else matched.key,
        ),
        timeout_seconds=application.settings.timing.call_timeout_seconds,
        may_send=partial(still_valid, application, matched, placed),
    )
    if isinstance(answered, Success):
        await release_done(application, work, placed)
        service_answer: ServiceAnswer = answered.unwrap()
        return service_answer
    error = answered.failure()
    await application.release_failed_permit(
        work, placed, error.message, certain=isinstance(error, CallNotRun)
    )
    if isinstance(error, CallNotRun):
        return not_run('endpoint-refused', error.message, 0)
    return Problem(
        Outcome.MAY_HAVE_RUN,
        'answer-lost',
        'no complete answer from the service: '
        'send the request again with the same key',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def still_valid(
    application: 'Application', matched: Call, placed: PlacedEndpoint
) -> bool:
    """Return whether the permit and the claim still allow sending."""
    if application.clock() >= placed.usable_until:
        return False
    return matched.claim is None or application.claims.may_send(matched.claim)


async def release_done(
    application: 'Application', work: Work, placed: PlacedEndpoint
) -> None:
    """Release the permit of a call that was answered."""
    await application.permits.release(
        PermitRelease(
            placed.endpoint.name,
            placed.grant.work,
            work.route.product,
            work.workspace,
            healthy=True,
        )
    )


async def decide_retry(
    application: 'Application', matched: Call, problem: Problem
) -> Problem | None:
    """Wait before the next attempt; return the problem if none is allowed."""
    work = matched.work
    ran = ExecutionState.NOTHING
    if problem.outcome is Outcome.MAY_HAVE_RUN:
        ran = ExecutionState.UNKNOWN
    decision = application.policy.retries.decide(
        Attempt(
            work.workspace,
            max(work.attempts, 1),
            matched.idempotent,
            ran,
            work.deadline_at,
        ),
        application.clock(),
    )
    application.traces.add(work.request, 'retry', decision=str(decision))
    if isinstance(decision, Retry) and problem.kind != 'claim-too-old':
        application.metrics.retries.add(1, {'product': work.route.product})
        await curio.sleep(decision.delay_seconds)
        return None
    return problem


async def finish_call(
    application: 'Application',
    matched: Call,
    answered: ServiceAnswer | Problem,
) -> Response:
    """Record the outcome and answer the caller."""
    request = matched.work.request
    if isinstance(answered, Problem):
        if matched.claim and answered.outcome is not Outcome.MAY_HAVE_RUN:
            await application.claims.release(matched.claim)
        application.count(matched.body.product, answered.outcome)
        return problem_response(answered, request)
    payload = {
        'request': request,
        'outcome': Outcome.DONE.value,
        'result': answered.result,
    }
    if matched.claim:
        await application.claims.record(
            matched.claim, orjson.dumps(payload).decode()
        )
    application.policy.retries.observe_success(matched.work.workspace)
    application.count(matched.body.product, Outcome.DONE)
    return done_response(payload, request)
