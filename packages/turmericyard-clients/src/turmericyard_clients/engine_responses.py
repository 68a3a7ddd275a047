"""Interprets an engine's responses by status and body."""

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

#: Delay before a retry when a response has no valid `Retry-After` header.
DEFAULT_RETRY_SECONDS = 1.0

OK = 200
ACCEPTED = 202
CLIENT_ERROR = 400
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
UNAVAILABLE = 503

BodyT = TypeVar('BodyT')


def exchange_error(address: str, error: HttpError) -> EngineError:
    """Return the engine error of a failed exchange."""
    if isinstance(error, NotSent):
        return NotStarted(address, 'unreachable', error.detail)
    return OutcomeUnknown(address, error.detail)


def unexpected_status(address: str, status: int) -> OutcomeUnknown:
    """Return the error for a status that the protocol does not define."""
    return OutcomeUnknown(address, f'unexpected status {status}')


def start_error(address: str, status: int, body: bytes) -> EngineError:
    """Return the error of a rejected start."""
    if status == NOT_FOUND:
        return NotStarted(address, 'no-model')
    if status == UNAVAILABLE:
        return NotStarted(address, error_kind(body))
    if CLIENT_ERROR <= status < SERVER_ERROR:
        return NotStarted(address, 'rejected', error_kind(body))
    return unexpected_status(address, status)


def resume_error(address: str, status: int, generation: str) -> EngineError:
    """Return the error of a rejected resume."""
    if status == NOT_FOUND:
        return GenerationUnknown(address, generation)
    return unexpected_status(address, status)


def order_result(address: str, response: Response) -> Result[None, EngineError]:
    """Return the result of an order."""
    if response.status == ACCEPTED:
        return Success(None)
    if response.status == CONFLICT:
        return Failure(OrderOutdated(address, highest_fencing(response.body)))
    if response.status == UNAVAILABLE:
        return Failure(OrderDeferred(address, retry_after_seconds(response)))
    return Failure(unexpected_status(address, response.status))


def decode_response(
    address: str, adapter: TypeAdapter[BodyT], response: Response
) -> Result[BodyT, EngineError]:
    """Return the validated body of a response of status 200."""
    if response.status != OK:
        return Failure(unexpected_status(address, response.status))
    try:
        return Success(adapter.validate_json(response.body))
    except ValidationError as error:
        detail = f'malformed response: {error.error_count()} errors'
        return Failure(OutcomeUnknown(address, detail))


def error_kind(body: bytes) -> str:
    """Return the `error` field of a body, or `unknown` when absent."""
    try:
        return str(orjson.loads(body)['error'])
    except (ValueError, KeyError, TypeError):
        return 'unknown'


def highest_fencing(body: bytes) -> int:
    """Return the highest fencing number that a body reports; 0 when absent."""
    try:
        return int(orjson.loads(body)['fencing'])
    except (ValueError, KeyError, TypeError):
        return 0


def retry_after_seconds(response: Response) -> float:
    """Return the seconds to wait according to the `Retry-After` header."""
    try:
        return float(response.headers['retry-after'])
    except (ValueError, KeyError):
        return DEFAULT_RETRY_SECONDS
