"""Claims on callers' idempotency keys, and the recorded outcomes of keys."""

from typing import TYPE_CHECKING

import orjson
import xxhash
from returns.result import Success

from turmericyard_http.messages import Request, Response
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    done_response,
    not_run,
    problem_response,
    refused,
)
from turmericyard_node.callers.bodies import CallBody
from turmericyard_node.claims import (
    ClaimAnswer,
    ClaimGranted,
    ClaimHeld,
    ClaimMismatch,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

CONFLICT = 409
NOT_FOUND = 404
RETRY_AFTER_SECONDS = 1.0


async def claim_key(
    application: 'Application', request: str, key: str, body: CallBody
) -> ClaimGranted | Problem | Response:
    """Return the claim on the key, or the answer if it cannot be claimed."""
    content = orjson.dumps(
        (body.product, body.operation, body.payload),
        option=orjson.OPT_SORT_KEYS,
    )
    answer = await application.claims.acquire(
        body.workspace, key, xxhash.xxh3_128_hexdigest(content)
    )
    application.traces.add(request, 'claim', answer=type(answer).__name__)
    if isinstance(answer, ClaimGranted):
        return answer
    return claim_problem(answer, request)


def claim_problem(answer: ClaimAnswer, request: str) -> Problem | Response:
    """Return the answer to a caller whose key could not be claimed."""
    if isinstance(answer, ClaimHeld):
        if answer.outcome:
            return done_response(orjson.loads(answer.outcome), request)
        return Problem(
            Outcome.MAY_HAVE_RUN,
            'outcome-unknown',
            'an earlier request claimed the key and no outcome is recorded: '
            'send the request again with the same key',
            CONFLICT,
            RETRY_AFTER_SECONDS,
        )
    if isinstance(answer, ClaimMismatch):
        return refused(
            'key-reused', 'the key was used with another body', CONFLICT
        )
    return not_run('store-unavailable', str(answer), RETRY_AFTER_SECONDS)


async def answer_outcome(
    application: 'Application', request: Request, key: str
) -> Response:
    """Answer with the recorded outcome of a key."""
    found = await application.claims.outcome(
        request.query.get('workspace', ''), key
    )
    if not isinstance(found, Success):
        return problem_response(
            not_run(
                'store-unavailable',
                found.failure().message,
                RETRY_AFTER_SECONDS,
            ),
            '',
        )
    recorded = found.unwrap()
    if recorded is None:
        return problem_response(
            refused('unknown-key', 'no call with this key', NOT_FOUND), ''
        )
    if recorded:
        return done_response(orjson.loads(recorded), '')
    held = claim_problem(ClaimHeld(''), '')
    return held if isinstance(held, Response) else problem_response(held, '')
