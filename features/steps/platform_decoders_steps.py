"""Steps for the validation of inputs from a platform."""

import os
import tempfile
from collections.abc import Callable
from typing import Any

from behave import then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import seed, settings
from returns.result import Failure, Result, Success

from support.drawn_inputs import (
    ADDRESS,
    ENGINE_ANSWERS,
    LINES,
    RECORD,
    SETTINGS_FILES,
    STORE_ANSWERS,
    mutated,
)
from support.fleet.world import manifest
from turmericyard_fleet import endpoints, engine, ingress, store_answers
from turmericyard_fleet import manifest as fleet_manifest
from turmericyard_fleet import settings as fleet_settings
from turmericyard_http.messages import Request, Response
from turmericyard_ports.request import (
    AnswerSigns,
    EndpointReport,
    IncomingRequest,
    Verdict,
)

SEED = 20261204


def read_settings(content: bytes) -> Any:
    with tempfile.NamedTemporaryFile(delete=False) as file:
        file.write(content)
    os.environ[fleet_settings.PATH_VARIABLE] = file.name
    try:
        return fleet_settings.read_settings()
    finally:
        os.environ.pop(fleet_settings.PATH_VARIABLE)
        os.unlink(file.name)


def read_request(lines: Any) -> Any:
    headers = {
        name.decode('latin-1'): text.decode('latin-1') for name, text in lines
    }
    request = Request('POST', '/a', {}, headers, b'', b'/a', lines)
    return ingress.read_incoming_request(request, 1.0)


def read_answer(lines: Any) -> Any:
    incoming = IncomingRequest('at', b'GET', b'/', 'h', '/', (), b'', 0, 1)
    for status in (200, 421, 503):
        signs = ingress.read_answer_signs(incoming, status, lines)
        assert isinstance(signs, AnswerSigns)
        assert isinstance(signs.verdict, Verdict)
        report = ingress.read_endpoint_report(status, lines)
        assert isinstance(report, EndpointReport)
        rest = report.back_off_seconds
        assert rest is None or 0 < rest < float('inf')
    ingress.response_headers(lines)
    return Success(None)


def read_store(body: bytes) -> Any:
    response = Response(200, {}, body)
    for read in (
        store_answers.read_entry,
        store_answers.read_page,
        store_answers.read_batch,
        store_answers.read_revision,
        store_answers.read_lease,
    ):
        assert isinstance(read(response), Result)
    conflict = store_answers.read_conflict(Response(412, {}, body))
    assert isinstance(conflict, Failure)
    return conflict


def read_engine(body: bytes) -> Any:
    response = Response(200, {}, body)
    assert isinstance(engine.read_report(response), EndpointReport)
    return engine.read_copy(ADDRESS, response)


DECODERS: dict[str, tuple[Any, Callable[[Any], Any]]] = {
    'settings files': (SETTINGS_FILES, read_settings),
    'manifests': (
        mutated(manifest()),
        lambda body: fleet_manifest.read_configuration('op/config', body),
    ),
    'endpoint records': (
        mutated(RECORD),
        lambda body: endpoints.read_endpoint('servers/i-1', body),
    ),
    "clients' requests": (LINES, read_request),
    "endpoints' answers": (LINES, read_answer),
    'answers of the store': (mutated(STORE_ANSWERS), read_store),
    'answers of engines to calls': (mutated(ENGINE_ANSWERS), read_engine),
}


@when('{count:d} generated {inputs} are decoded')
def step_decode(context: Context, count: int, inputs: str) -> None:
    strategy, decode = DECODERS[inputs]
    context.outcomes = []

    def check(content: Any) -> None:
        context.outcomes.append(decode(content))

    bounded_settings = settings(
        max_examples=count, deadline=None, database=None
    )
    seed(SEED)(bounded_settings(property_given(strategy)(check)))()


@then('each gives a value or a typed error')
def step_typed(context: Context) -> None:
    assert len(context.outcomes) >= 100
    assert all(isinstance(each, Result) for each in context.outcomes)
