"""Typed answers to callers: the outcome of a request and what to do next."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

import orjson

from turmericyard_http.messages import Response


class Outcome(Enum):
    """The outcome of a request."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    FAILED = 'failed'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Problem:
    """An answer without a result: what went wrong and when to retry.

    A `retry_after_seconds` of 0 means that a retry does not help, or that it
    may be sent at once to one of the `addresses`.
    """

    outcome: Outcome
    kind: str
    message: str
    status: int = 503
    retry_after_seconds: float = 0
    addresses: Sequence[str] = ()

    def payload(self, request: str) -> dict[str, Any]:
        """Return the JSON object of the problem."""
        return {
            'outcome': self.outcome.value,
            'kind': self.kind,
            'message': self.message,
            'retry_after_seconds': self.retry_after_seconds,
            'addresses': list(self.addresses),
            'request': request,
        }


def answer_headers(outcome: Outcome, request: str) -> dict[str, str]:
    """Return the headers that every answer carries."""
    return {
        'content-type': 'application/json',
        'x-outcome': outcome.value,
        'x-request-id': request,
    }


def problem_response(problem: Problem, request: str) -> Response:
    """Return the response of a problem."""
    headers = answer_headers(problem.outcome, request)
    if problem.retry_after_seconds:
        headers['retry-after'] = str(int(problem.retry_after_seconds) + 1)
    return Response(
        problem.status, headers, orjson.dumps(problem.payload(request))
    )


def done_response(payload: Any, request: str) -> Response:
    """Return the response of a request that has run."""
    headers = answer_headers(Outcome.DONE, request)
    return Response(HTTPStatus.OK, headers, orjson.dumps(payload))


def refused(kind: str, message: str, status: int = 400) -> Problem:
    """Return a permanent refusal; a retry does not help."""
    return Problem(Outcome.REFUSED, kind, message, status)


def not_run(kind: str, message: str, retry_after: float) -> Problem:
    """Return the problem of a request that has not run and will not run."""
    return Problem(
        Outcome.NOT_RUN, kind, message, retry_after_seconds=retry_after
    )
