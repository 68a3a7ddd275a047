"""Meaning of an engine's answers, by status and body."""

from typing import TypeVar

import orjson
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from turmericyard_clients.engine_errors import (
    EngineError,
    GenerationUnknown,
    NotStarted,
    OrderDeferred,
    OrderOutdated,
    OutcomeUnknown,
)
from turmericyard_http.errors import HttpError, NotSent
from turmericyard_http.messages import Response

RETRY_AFTER_SECONDS = 1.0

OK = 200
ACCEPTED = 202
CLIENT_ERROR = 400
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
UNAVAILABLE = 503

AnswerT = TypeVar('AnswerT')


def exchange_error(address: str, error: HttpError) -> EngineError:
    """Return the engine error of a failed exchange."""
    if isinstance(error, NotSent):
        return NotStarted(address, 'unreachable', error.detail)
    return OutcomeUnknown(address, error.detail)


def unexpected(address: str, status: int) -> OutcomeUnknown:
    """Return the error of a status that the protocol does not know."""
    return OutcomeUnknown(address, f'unexpected status {status}')


def start_error(address: str, status: int, body: bytes) -> EngineError:
    """Return what the refusal of a start says."""
    if status == NOT_FOUND:
        return NotStarted(address, 'no-model')
    if status == UNAVAILABLE:
        return NotStarted(address, error_kind(body))
    if CLIENT_ERROR <= status < SERVER_ERROR:
        return NotStarted(address, 'rejected', error_kind(body))
    return unexpected(address, status)


def resume_error(address: str, status: int, generation: str) -> EngineError:
    """Return what the refusal of a resume says."""
    if status == NOT_FOUND:
        return GenerationUnknown(address, generation)
    return unexpected(address, status)


def order_outcome(
    address: str, response: Response
) -> Result[None, EngineError]:
    """Return what the answer to an order says."""
    if response.status == ACCEPTED:
        return Success(None)
    if response.status == CONFLICT:
        return Failure(OrderOutdated(address, highest_fencing(response.body)))
    if response.status == UNAVAILABLE:
        return Failure(OrderDeferred(address, retry_after(response)))
    return Failure(unexpected(address, response.status))


def decode(
    address: str, adapter: TypeAdapter[AnswerT], response: Response
) -> Result[AnswerT, EngineError]:
    """Return the checked answer of status 200."""
    if response.status != OK:
        return Failure(unexpected(address, response.status))
    try:
        return Success(adapter.validate_json(response.body))
    except ValidationError as error:
        detail = f'malformed answer: {error.error_count()} faults'
        return Failure(OutcomeUnknown(address, detail))


def error_kind(body: bytes) -> str:
    """Return the `error` field of a body, or unknown."""
    try:
        return str(orjson.loads(body)['error'])
    except (ValueError, KeyError, TypeError):
        return 'unknown'


def highest_fencing(body: bytes) -> int:
    """Return the fencing number of a refused order; 0 when absent."""
    try:
        return int(orjson.loads(body)['fencing'])
    except (ValueError, KeyError, TypeError):
        return 0


def retry_after(response: Response) -> float:
    """Return the seconds that the answer asks to wait."""
    try:
        return float(response.headers['retry-after'])
    except (ValueError, KeyError):
        return RETRY_AFTER_SECONDS
