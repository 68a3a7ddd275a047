"""Common parts of a stand-in process: two listeners and a ready line."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any, Protocol

import click
import curio

from turmericyard_http.answer_writer import Answer
from turmericyard_http.messages import Request, Response, json_response
from turmericyard_http.server import (
    listener_port,
    open_listener,
    serve_http,
)

LOOPBACK = '127.0.0.1'
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


class StandIn(Protocol):
    """Interface of a stand-in to its two listeners."""

    async def answer(self, request: Request) -> Answer:
        """Answer one request of the protocol.

        Raises ConnectionAbortedError to close the connection without an
        answer.
        """

    async def control(self, faults: Mapping[str, Any]) -> None:
        """Apply faults; raises ValueError for an unknown one."""

    def ledger(self) -> Any:
        """Return the ledger as plain JSON values."""


def port_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options `--port` and `--control-port` to a command."""
    port = click.option(
        '--port', default=0, help='Protocol port; 0 takes any free one.'
    )
    control = click.option(
        '--control-port', default=0, help='Control port; 0 takes any free one.'
    )
    return port(control(command))


async def run_standin(
    standin: StandIn,
    port: int,
    control_port: int,
    background: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve both ports until cancelled; prints `ready PORT CONTROL_PORT`."""
    listener = open_listener(LOOPBACK, port)
    control = open_listener(LOOPBACK, control_port)
    ports = f'{listener_port(listener)} {listener_port(control)}'
    answer_control = partial(handle_control, standin)
    async with curio.TaskGroup(wait=any) as tasks:
        await tasks.spawn(serve_http, listener, standin.answer)
        await tasks.spawn(serve_http, control, answer_control)
        if background is not None:
            await tasks.spawn(background)
        click.echo(f'ready {ports}')


async def handle_control(standin: StandIn, request: Request) -> Response:
    """Answer one request of the control port."""
    if (request.method, request.path) == ('GET', '/ledger'):
        return json_response(OK, standin.ledger())
    if (request.method, request.path) != ('POST', '/control'):
        return error_response(NOT_FOUND, 'unknown path')
    try:
        faults = Response(OK, body=request.body).json()
        await standin.control(faults)
    except (ValueError, TypeError, AttributeError) as error:
        return error_response(BAD_REQUEST, str(error))
    return json_response(OK, {})


def error_response(status: int, error: str) -> Response:
    """Return a response with a JSON error text."""
    return json_response(status, {'error': error})


def apply_faults(target: Any, faults: Mapping[str, Any]) -> None:
    """Set the given fields of a data class of faults.

    Raises ValueError for an unknown name, before setting any field.
    """
    unknown = sorted(set(faults) - set(target.__dataclass_fields__))
    if unknown:
        raise ValueError(f'unknown faults: {unknown}')
    for name, setting in faults.items():
        setattr(target, name, setting)
