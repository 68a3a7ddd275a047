"""Routes of the callers' interface."""

from typing import TYPE_CHECKING
from uuid import uuid4

from turmericyard_http.messages import Request, Response, StreamResponse
from turmericyard_node.callers.addresses import answer_addresses, live_addresses
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    problem_response,
    refused,
)
from turmericyard_node.callers.call import call
from turmericyard_node.callers.claiming import answer_outcome
from turmericyard_node.callers.generate import generate
from turmericyard_node.callers.resume import cancel, resume
from turmericyard_node.events import Event, log_event

if TYPE_CHECKING:
    from turmericyard_node.application import Application

GENERATIONS_PREFIX = '/v1/generations/'
OUTCOMES_PREFIX = '/v1/outcomes/'
NOT_FOUND = 404
INTERNAL_ERROR = 500
MAX_REQUEST_ID_CHARACTERS = 100

Answer = Response | StreamResponse


def request_id_of(request: Request) -> str:
    """Return the caller's request id if it is valid, else a new one."""
    given = request.headers.get('x-request-id', '')
    if given.isprintable() and 0 < len(given) <= MAX_REQUEST_ID_CHARACTERS:
        return given
    return uuid4().hex


async def answer_caller(application: 'Application', request: Request) -> Answer:
    """Answer one request of a caller; never raises."""
    request_id = request_id_of(request)
    application.open_requests += 1
    application.request_count += 1
    try:
        return await route(application, request, request_id)
    except Exception as error:  # noqa: BLE001  the caller always gets an answer
        log_event(Event.HANDLER_FAILED, request=request_id, message=repr(error))
        return problem_response(
            Problem(
                Outcome.MAY_HAVE_RUN,
                'internal',
                'the node failed: send the request again with the same key',
                INTERNAL_ERROR,
                1,
            ),
            request_id,
        )
    finally:
        application.open_requests -= 1


async def route(
    application: 'Application', request: Request, request_id: str
) -> Answer:
    """Pass the request to the handler of its method and path."""
    if request.method == 'GET':
        return await route_get(application, request)
    if request.method == 'DELETE' and request.path.startswith(
        GENERATIONS_PREFIX
    ):
        token = request.path.removeprefix(GENERATIONS_PREFIX)
        return await cancel(application, request, token)
    if request.method == 'POST' and request.path in POST_HANDLERS:
        problem = unavailable_problem(application)
        if problem is not None:
            application.traces.add(request_id, 'refused', kind=problem.kind)
            return problem_response(problem, request_id)
        return await POST_HANDLERS[request.path](
            application, request, request_id
        )
    return unknown_path(request_id)


async def route_get(application: 'Application', request: Request) -> Answer:
    """Answer read requests, which a node serves until it stops."""
    if request.path == '/v1/addresses':
        return answer_addresses(application, request)
    if request.path.startswith(GENERATIONS_PREFIX):
        token = request.path.removeprefix(GENERATIONS_PREFIX)
        return await resume(application, request, token)
    if request.path.startswith(OUTCOMES_PREFIX):
        key = request.path.removeprefix(OUTCOMES_PREFIX)
        return await answer_outcome(application, request, key)
    return unknown_path('')


def unavailable_problem(application: 'Application') -> Problem | None:
    """Return the refusal if the node takes no new work, else None."""
    kind = application.refusal_kind()
    if kind is None:
        return None
    other_addresses = [
        address
        for address in live_addresses(application, '')
        if address != application.settings.node.caller_address
    ]
    return Problem(
        Outcome.NOT_RUN,
        kind,
        f'this node is {kind}: use another address',
        retry_after_seconds=0 if other_addresses else 1,
        addresses=other_addresses,
    )


def unknown_path(request_id: str) -> Response:
    """Return the answer to a path that does not exist."""
    return problem_response(
        refused('unknown-path', 'no such path: see docs/CALLERS.md', NOT_FOUND),
        request_id,
    )


POST_HANDLERS = {'/v1/generate': generate, '/v1/call': call}
