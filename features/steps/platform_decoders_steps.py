"""Steps for what comes over the borders of a platform."""

import json
import os
import tempfile
from collections.abc import Callable
from random import Random
from typing import Any

import curio
from behave import then, when
from behave.runner import Context
from hypothesis import given as given_drawn
from hypothesis import seed, settings
from hypothesis import strategies as drawn
from returns.result import Failure, Result, Success

from support.fleet.scenario import run
from support.fleet.world import World, manifest
from turmericyard_fleet import endpoints, engine, ingress, store_answers
from turmericyard_fleet import manifest as fleet_manifest
from turmericyard_fleet import settings as fleet_settings
from turmericyard_http.connection import connect
from turmericyard_http.messages import Request, Response
from turmericyard_ports.request import Arrival, EndpointSigns, Verdict

SEED = 20261204
ADDRESS = '10.0.0.1:80'
SCALARS = (
    drawn.none()
    | drawn.booleans()
    | drawn.integers()
    | drawn.floats()
    | drawn.text(max_size=12)
)
VALUES = drawn.recursive(
    SCALARS,
    lambda inner: (
        drawn.lists(inner, max_size=4)
        | drawn.dictionaries(drawn.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
HEADER_NAMES = drawn.sampled_from(
    (
        b'host',
        b'authorization',
        b'x-turmericyard-attempt-id',
        b'x-turmericyard-deadline-ms',
        b'x-turmericyard-token-count',
        b'x-turmericyard-length-hint',
        b'x-turmericyard-not-executed',
        b'x-turmericyard-response-seal',
        b'server-leaving',
        b'retry-after',
        b'connection',
    )
)
LINES = drawn.lists(
    drawn.tuples(
        HEADER_NAMES,
        drawn.binary(max_size=16)
        | drawn.sampled_from((b'1', b'-1', b'nan', b'inf', b'1e999', b'9,')),
    ),
    max_size=8,
).map(tuple)
RECORD = {
    'service': 'plain',
    'address': ADDRESS,
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'born': 1,
}
STORE_ANSWERS = {
    'items': [{'key': 'k', 'value': 'dg==', 'revision': 3}],
    'events': [{'key': 'k', 'revision': 4, 'tombstone': True}],
    'currentRev': 4,
    'revision': 4,
    'lease': 5,
}
ENGINE_ANSWERS = {'handle': 'h-1', 'state': 'draining', 'createRevision': 3}


def mutated(original: Any) -> drawn.SearchStrategy[bytes]:
    """Return JSON with some values replaced, cut or not JSON at all."""

    @drawn.composite
    def build(draw: Callable[[Any], Any]) -> bytes:
        changed = json.loads(json.dumps(original))
        for _ in range(draw(drawn.integers(0, 3))):
            replace_one(changed, draw(VALUES), Random(draw(drawn.integers())))
        encoded = json.dumps(changed).encode()
        cut = draw(drawn.integers(0, 3 * len(encoded)))
        return encoded[:cut]

    return build() | drawn.binary(max_size=64)


def replace_one(document: Any, value: Any, random: Random) -> None:
    """Put a value at a random place of a document."""
    inside = document
    while isinstance(inside, dict | list) and inside:
        keys = list(inside) if isinstance(inside, dict) else range(len(inside))
        key = random.choice(list(keys))
        if not isinstance(inside[key], dict | list) or random.random() < 0.3:
            inside[key] = value
            return
        inside = inside[key]


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
    return ingress.read_arrival(request, 1.0)


def read_answer(lines: Any) -> Any:
    arrival = Arrival('at', b'GET', b'/', 'h', '/', (), b'', 0, 1)
    for status in (200, 421, 503):
        assert isinstance(ingress.judge_answer(arrival, status, lines), Verdict)
        signs = ingress.endpoint_signs(status, lines)
        assert isinstance(signs, EndpointSigns)
        rest = signs.rest_seconds
        assert rest is None or 0 < rest < float('inf')
    ingress.is_genuine(lines)
    ingress.back_headers(lines)
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
    assert isinstance(engine.signs_of(response), EndpointSigns)
    return engine.read_copy(ADDRESS, response)


SETTINGS_TEXT = b"""
nodeName = "n"
ip = "10.0.0.1"
zone = "a"
region = "r"
internalPorts = [1, 2]
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[platform]
address = "10.0.0.1:5"
"""
SETTINGS_FILES = drawn.binary(max_size=64) | drawn.builds(
    lambda cut, changed: changed + SETTINGS_TEXT[:cut],
    drawn.integers(0, 2 * len(SETTINGS_TEXT)),
    drawn.sampled_from((b'', b'seeds = 3\n', b'seeds = [1]\n', b'x = {}\n')),
)
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


@when('{count:d} drawn {inputs} are decoded')
def step_decode(context: Context, count: int, inputs: str) -> None:
    strategy, decode = DECODERS[inputs]
    context.outcomes = []

    def check(content: Any) -> None:
        context.outcomes.append(decode(content))

    checked = settings(max_examples=count, deadline=None, database=None)
    seed(SEED)(checked(given_drawn(strategy)(check)))()


@then('each gave a value or a typed error')
def step_typed(context: Context) -> None:
    assert len(context.outcomes) >= 100
    assert all(isinstance(each, Result) for each in context.outcomes)


async def call_all(world: World, context: Context) -> None:
    """Call a node again and again until cancelled."""
    number = 0
    while True:
        number += 1
        answer = await world.ask('n-0', '/read/a', f'at-{number}')
        context.answers.append(answer)


@when('{count:d} drawn byte strings are sent to each address of a node')
def step_send(context: Context, count: int) -> None:
    random = Random(SEED)
    context.answers = []

    async def scenario(world: World) -> None:
        calling = await curio.spawn(call_all, world, context)
        node = world.nodes['n-0'].settings
        addresses = (
            node.callers,
            node.readiness,
            node.control,
            node.directory,
            node.peers,
        )
        for _ in range(count):
            for address in addresses:
                await send_bytes(address, random)
        await calling.cancel()
        context.peers = list(world.nodes['n-0'].fleet.live_members())

    run(context, scenario)


async def send_bytes(address: str, random: Random) -> None:
    """Send bytes that begin like a request, or like nothing."""
    begin = random.choice((b'', b'GET / HTTP/1.1\r\n', b'POST /read/a HTT'))
    connection = await connect(address)
    try:
        sent = begin + random.randbytes(random.randrange(1, 300))
        await connection.sock.sendall(sent)
        async with curio.ignore_after(0.02):
            await connection.sock.recv(1000)
    except OSError:
        return
    finally:
        await connection.close()


@then('each call meanwhile was answered {status:d}')
def step_meanwhile(context: Context, status: int) -> None:
    assert len(context.answers) > 10
    found = {answer.status for answer in context.answers}
    assert found == {status}, found


@then('the node knows its peer as before')
def step_peer(context: Context) -> None:
    assert context.peers == ['n-1'], context.peers


@when('the store answers each call with drawn values for {seconds:d} seconds')
def step_store(context: Context, seconds: int) -> None:
    random = Random(SEED)
    bodies: list[bytes] = []

    def collect(body: bytes) -> None:
        bodies.append(body)

    checked = settings(max_examples=200, deadline=None, database=None)
    seed(SEED)(checked(given_drawn(mutated(STORE_ANSWERS))(collect)))()
    context.answers = []

    async def scenario(world: World) -> None:
        async def answer(_request: Request) -> Response:
            await curio.sleep(0)
            return Response(200, {}, random.choice(bodies))

        world.servers['store'].handler = answer
        calling = await curio.spawn(call_all, world, context)
        await curio.sleep(seconds)
        await calling.cancel()

    run(context, scenario)
