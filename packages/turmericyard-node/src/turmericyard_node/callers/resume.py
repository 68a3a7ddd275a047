"""Resumes and cancels generations by their resume tokens, at any node."""

from http import HTTPStatus
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from turmericyard_clients.engine_errors import GenerationUnknown, NotStarted
from turmericyard_http.messages import Request, Response, StreamResponse
from turmericyard_node.abandoned_generations import cancel_generation
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    answer_headers,
    done_response,
    not_run,
    problem_response,
    refused,
)
from turmericyard_node.callers.relay import create_relay
from turmericyard_node.callers.relay_body import create_relay_body
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_node.resume_token import ResumePoint, decode_token
from turmericyard_protocol.messages import GenerationTaken

if TYPE_CHECKING:
    from turmericyard_node.application import Application

FORBIDDEN = 403
GONE = 410
RETRY_AFTER_SECONDS = 1.0


async def resume(
    application: 'Application', request: Request, token: str
) -> Response | StreamResponse:
    """Answer with the generation's events from the requested offset."""
    checked = check_resume(application, request, token)
    if not isinstance(checked, Success):
        return problem_response(checked.failure(), '')
    point, offset = checked.unwrap()
    engine = application.clients.engine(point.address)
    opened = await engine.resume_generation(point.generation, offset)
    if not isinstance(opened, Success):
        return problem_response(resume_problem(opened.failure()), point.request)
    await announce_resume(application, point)
    relay = create_relay(
        application, application.clock(), point, opened.unwrap(), offset
    )
    headers = answer_headers(Outcome.DONE, point.request)
    headers['content-type'] = 'text/event-stream'
    return StreamResponse(HTTPStatus.OK, create_relay_body(relay), headers)


def resume_problem(error: object) -> Problem:
    """Return the problem to report to the caller after a failed resume."""
    if isinstance(error, GenerationUnknown | NotStarted):
        return Problem(
            Outcome.FAILED,
            'generation-lost',
            'the engine crashed or no longer has the generation: '
            'send a new request',
            GONE,
        )
    return not_run(
        'engine-unreachable',
        'the engine did not answer: resume again later',
        RETRY_AFTER_SECONDS,
    )


def check_resume(
    application: 'Application', request: Request, token: str
) -> Result[tuple[ResumePoint, int], Problem]:
    """Return the authenticated resume point and the requested offset."""
    workspace = request.query.get('workspace', '')
    decoded = decode_token(application.identity.secret, token, workspace)
    if not isinstance(decoded, Success):
        return Failure(
            refused('invalid-token', decoded.failure().message, FORBIDDEN)
        )
    offset = request.query.get('offset', '0')
    if not offset.isdecimal():
        return Failure(
            refused(
                'invalid-offset', 'offset must be a whole number of 0 or more'
            )
        )
    return Success((decoded.unwrap(), int(offset)))


async def announce_resume(
    application: 'Application', point: ResumePoint
) -> None:
    """Tell the node that started the generation not to cancel it."""
    notice = GenerationTaken(point.generation)
    if point.node == application.identity.node:
        application.abandoned_generations.mark_resumed(point.generation)
    else:
        await application.mesh.send(point.node, notice)


async def cancel(
    application: 'Application', request: Request, token: str
) -> Response:
    """Cancel a generation that the caller no longer wants."""
    checked = check_resume(application, request, token)
    if not isinstance(checked, Success):
        return problem_response(checked.failure(), '')
    point, _ = checked.unwrap()
    await cancel_generation(application, point)
    return done_response({'outcome': 'done'}, point.request)


@handle_message.register(GenerationTaken)
async def answer_taken(
    message: GenerationTaken, sender: str, application: 'Application'
) -> None:
    """Do not cancel a generation that another node has resumed."""
    application.abandoned_generations.mark_resumed(message.generation)
