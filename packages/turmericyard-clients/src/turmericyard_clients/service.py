"""Client of plain services."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from turmericyard_http.client import Guard, HttpClient, always
from turmericyard_http.errors import HttpError, NotSent
from turmericyard_http.messages import Response

OK = 200
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call; a call with a `key` must not run twice."""

    request: str
    operation: str
    payload: Any
    key: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The result of a completed call, as JSON values."""

    request: str
    result: Any


@dataclass(frozen=True, slots=True)
class CallNotRun:
    """The call did not run.

    `refused` says that the service was reached and refused it.
    """

    detail: str
    refused: bool = False

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return f'the call did not run ({self.detail}): retry it'


@dataclass(frozen=True, slots=True)
class CallMayHaveRun:
    """The call was sent and no valid response to it arrived."""

    detail: str

    @property
    def message(self) -> str:
        """Return what happened and the remedy."""
        return (
            f'the call may have run ({self.detail}): '
            'ask for its outcome before a retry'
        )


ServiceError = CallNotRun | CallMayHaveRun


async def call_service(
    client: HttpClient,
    call: ServiceCall,
    *,
    timeout_seconds: float,
    may_send: Guard = always,
) -> Result[ServiceAnswer, ServiceError]:
    """Send one call and return its result.

    A call with a key opens a new connection. `may_send` is called immediately
    before the first byte is sent. After a failure, such as a response to
    another request, the idle connections of the client are closed.
    """
    result = await client.request(
        'POST',
        '/v1/calls',
        headers={'content-type': 'application/json'},
        body=encode_call(call),
        timeout_seconds=timeout_seconds,
        fresh=call.key is not None,
        may_send=may_send,
    )
    checked: Result[Response, ServiceError] = result.alt(service_error)
    outcome = checked.bind(lambda response: decode_response(call, response))
    if isinstance(outcome, Failure):
        await client.close()
    return outcome


def encode_call(call: ServiceCall) -> bytes:
    """Return the body of a call."""
    return orjson.dumps(
        {
            'request': call.request,
            'key': call.key,
            'operation': call.operation,
            'payload': call.payload,
        }
    )


def service_error(error: HttpError) -> ServiceError:
    """Return the error of the call whose exchange failed."""
    if isinstance(error, NotSent):
        return CallNotRun(error.message)
    return CallMayHaveRun(error.message)


def decode_response(
    call: ServiceCall, response: Response
) -> Result[ServiceAnswer, ServiceError]:
    """Return the result if the response is valid and belongs to the call."""
    if response.status == UNAVAILABLE:
        return Failure(CallNotRun('the service refused the call', refused=True))
    if response.status != OK:
        return Failure(CallMayHaveRun(f'status {response.status}'))
    try:
        payload: Mapping[str, Any] = response.json()
        request_id, outcome = payload['request'], payload['result']
    except (ValueError, KeyError, TypeError):
        return Failure(CallMayHaveRun('malformed response'))
    if request_id != call.request:
        return Failure(
            CallMayHaveRun('the response belongs to another request')
        )
    return Success(ServiceAnswer(call.request, outcome))
