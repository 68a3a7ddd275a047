"""Routes of the operators' interface; all need the operators' token."""

import hmac
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import curio
import orjson

from turmericyard_http.messages import Request, Response, json_response
from turmericyard_node.metrics import render_metrics
from turmericyard_node.operators.status import node_status
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_protocol.messages import ExplainReply, ExplainRequest

if TYPE_CHECKING:
    from turmericyard_node.application import Application

UNAUTHORIZED = 401
NOT_FOUND = 404
EXPLAIN_PREFIX = '/explain/'
EXPLAIN_TIMEOUT_SECONDS = 1.0


async def answer_operator(
    application: 'Application', request: Request
) -> Response:
    """Answer one request of an operator."""
    if not authorized(application, request):
        return json_response(
            UNAUTHORIZED,
            {
                'error': (
                    'send Authorization: Bearer TOKEN, '
                    'with the token from the token file'
                )
            },
        )
    if request.path == '/status':
        return json_response(HTTPStatus.OK, node_status(application))
    if request.path == '/metrics':
        return Response(
            HTTPStatus.OK,
            {'content-type': 'text/plain; version=0.0.4'},
            render_metrics(),
        )
    if request.path.startswith(EXPLAIN_PREFIX):
        request_id = request.path.removeprefix(EXPLAIN_PREFIX)
        return json_response(
            HTTPStatus.OK, await explain(application, request_id)
        )
    return json_response(NOT_FOUND, {'error': 'unknown path'})


def authorized(application: 'Application', request: Request) -> bool:
    """Return whether the request carries the operators' token."""
    given = request.headers.get('authorization', '').encode()
    expected = b'Bearer %s' % application.operator_token
    return hmac.compare_digest(given, expected)


async def explain(application: 'Application', request: str) -> dict[str, Any]:
    """Return the decisions on a request from all nodes, in order of time."""
    lines = list(application.traces.lines(request))
    unreachable: list[str] = []
    peers = [
        node
        for node in application.membership.members
        if node != application.identity.node
    ]
    async with curio.TaskGroup() as group:
        for node in peers:
            await group.spawn(
                explain_at, application, node, request, lines, unreachable
            )
    steps = sorted(
        (orjson.loads(line) for line in lines), key=lambda step: step['at']
    )
    return {'request': request, 'steps': steps, 'unreachable': unreachable}


async def explain_at(
    application: 'Application',
    node: str,
    request: str,
    lines: list[str],
    unreachable: list[str],
) -> None:
    """Add one peer's decisions to `lines`, or the peer to `unreachable`."""
    reply = await application.mesh.request(
        node, ExplainRequest(request), EXPLAIN_TIMEOUT_SECONDS
    )
    found = reply.value_or(None)
    if isinstance(found, ExplainReply):
        lines.extend(found.lines)
    else:
        unreachable.append(node)


@handle_message.register(ExplainRequest)
async def answer_explain(
    message: ExplainRequest, sender: str, application: 'Application'
) -> ExplainReply:
    """Return this node's decisions on a request."""
    return ExplainReply(
        message.request, application.traces.lines(message.request)
    )
