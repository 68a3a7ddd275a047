"""Generations: places one, starts it at an engine and streams its answer.

Before its first token, a failed generation may be placed again. Afterwards it
can only be resumed.
"""

from http import HTTPStatus
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from turmericyard_decisions.quarantine import request_marks
from turmericyard_http.messages import Request, Response, StreamResponse
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    answer_headers,
    problem_response,
)
from turmericyard_node.callers.bodies import GenerateBody, parse_body
from turmericyard_node.callers.collect import collect_answer
from turmericyard_node.callers.matching import (
    deadline_of,
    match_route,
    prefix_hash,
    tokenize,
)
from turmericyard_node.callers.relay import create_relay
from turmericyard_node.callers.relay_body import create_relay_body
from turmericyard_node.callers.start import RunningGeneration, start_generation
from turmericyard_node.resume_token import ResumePoint
from turmericyard_node.work import Work
from turmericyard_tables.models import WorkKind

if TYPE_CHECKING:
    from turmericyard_node.application import Application


async def generate(
    application: 'Application', request: Request, request_id: str
) -> Response | StreamResponse:
    """Answer a request for a generation."""
    parsed = parse_body(GenerateBody, request.body)
    if not isinstance(parsed, Success):
        return problem_response(parsed.failure(), request_id)
    body = parsed.unwrap()
    prepared = prepare(application, request, body, request_id)
    if not isinstance(prepared, Success):
        return problem_response(prepared.failure(), request_id)
    work = prepared.unwrap()
    started = await start_generation(application, work)
    if isinstance(started, Problem):
        application.count(work.route.product, started.outcome)
        return problem_response(started, request_id)
    relay = create_relay(
        application,
        work.accepted_at,
        resume_point(application, work, started),
        started.stream,
    )
    relay.initial_events = started.initial_events
    relay.restart = started.restart
    relay.marks = work.marks
    relay.queue_entry = work.queued
    relay.prompt_tokens = len(work.prompt)
    if body.stream:
        headers = answer_headers(Outcome.DONE, request_id)
        headers['content-type'] = 'text/event-stream'
        headers['cache-control'] = 'no-store'
        return StreamResponse(HTTPStatus.OK, create_relay_body(relay), headers)
    return await collect_answer(relay, request_id)


def prepare(
    application: 'Application',
    request: Request,
    body: GenerateBody,
    request_id: str,
) -> Result[Work, Problem]:
    """Return the work of a validated body after matching its route."""
    matched = match_route(
        application.configuration.current,
        body.product,
        body.workspace,
        WorkKind.GENERATION,
    )
    if not isinstance(matched, Success):
        return Failure(matched.failure())
    route, workspace = matched.unwrap()
    now = application.clock()
    key = request.headers.get('idempotency-key', request_id)
    prompt = tokenize(body.prompt) or (0,)
    lengths = application.policy.lengths.lengths(
        route.product, workspace.name, body.max_tokens
    )
    deadline = deadline_of(body, route)
    work = Work(
        request_id,
        route,
        workspace.name,
        workspace.weight,
        request_marks(workspace.name, key, body.prompt.encode()),
        now,
        now + deadline,
        prompt,
        body.max_tokens,
        prefix_hash(prompt),
        min(lengths.mean(), body.max_tokens) + len(prompt),
    )
    application.traces.add(
        request_id, 'matched', product=route.product, pools=route.pools
    )
    return Success(work)


def resume_point(
    application: 'Application', work: Work, started: RunningGeneration
) -> ResumePoint:
    """Return the point at which the generation can be resumed."""
    return ResumePoint(
        work.request,
        started.placed.grant.work,
        started.placed.endpoint.name,
        started.placed.endpoint.address,
        application.identity.node,
        work.route.product,
        work.workspace,
    )
