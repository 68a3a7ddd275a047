"""Steps for the callers' page and invalid input."""

import json
import re
import subprocess
from http.client import HTTPConnection
from pathlib import Path

from behave import then, when
from behave.runner import Context

PAGE = Path(__file__).parents[2] / 'docs/CALLERS.md'
CURL = re.compile(r'^    curl (?:.*\\\n)*.*(?:\n {11}.*)*', re.MULTILINE)
BOOKING = {
    'product': 'booking',
    'workspace': 'ljubljana-voda',
    'operation': 'book',
    'payload': {'door': 7},
}
GENERATION = {
    'product': 'household-report',
    'workspace': 'ljubljana-voda',
    'prompt': 'tap',
    'max_tokens': 5,
}
BODIES = {
    'no JSON': '{"product"',
    'an unknown field': json.dumps({**GENERATION, 'temperature': 1}),
    'an unknown product': json.dumps({**GENERATION, 'product': 'poem'}),
    'an unknown workspace': json.dumps({**GENERATION, 'workspace': 'other'}),
    'a service product': json.dumps({**GENERATION, 'product': 'booking'}),
    'a booking': json.dumps(BOOKING),
    'another booking': json.dumps({**BOOKING, 'payload': {'door': 8}}),
}
#: Text that each answer contains, in the order of the page's examples.
EXPECTED = (
    '"addresses"',
    'event: done',
    '"outcome":"done"',
    '"offset":20',
    '"outcome":"done"',
    '"outcome":"done"',
    '"outcome":"done"',
    '"outcome":"done"',
)
TIMEOUT_SECONDS = 60
PATH = {'PATH': '/usr/local/bin:/usr/bin:/bin'}


def caller_address(context: Context) -> str:
    addresses: list[str] = context.run.deployment.addresses()
    return addresses[0]


@when('the curl examples of docs/CALLERS.md run in order')
def step_curl(context: Context) -> None:
    token = ''
    context.answers = []
    for example in CURL.findall(PAGE.read_text(encoding='utf-8')):
        ended = subprocess.run(
            ['bash', '-c', example],
            env={'NODE': caller_address(context), 'TOKEN': token, **PATH},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=True,
        )
        context.answers.append((example, ended.stdout))
        resume = re.search(r'"resume":"([^"]+)"', ended.stdout)
        token = resume.group(1) if resume else token


@then('each of them gets the answer that the page states')
def step_answers(context: Context) -> None:
    assert len(context.answers) == len(EXPECTED)
    for (example, answer), part in zip(context.answers, EXPECTED, strict=True):
        assert part in answer, (example, answer)


@when('a caller posts {body} to "{path}" with key "{key}"')
def step_post(context: Context, body: str, path: str, key: str) -> None:
    headers = {} if key == '-' else {'idempotency-key': key}
    post(context, path, BODIES[body], headers)


def post(
    context: Context, path: str, body: str, headers: dict[str, str]
) -> None:
    connection = HTTPConnection(caller_address(context), timeout=30)
    connection.request('POST', path, body, headers)
    response = connection.getresponse()
    context.status = response.status
    context.outcome = response.headers['x-outcome']
    context.answer = json.loads(response.read())
    connection.close()


@then('the answer is {status:d} "{outcome}" "{kind}"')
def step_answer(context: Context, status: int, outcome: str, kind: str) -> None:
    check_answer(context, status, outcome, kind)


@then('the answer is {status:d} "{outcome}" ""')
def step_answer_done(context: Context, status: int, outcome: str) -> None:
    check_answer(context, status, outcome, '')


def check_answer(
    context: Context, status: int, outcome: str, kind: str
) -> None:
    found = (context.status, context.outcome, context.answer.get('kind', ''))
    assert found == (status, outcome, kind), (found, context.answer)
    assert context.answer['outcome'] == outcome


@then('the node keeps serving')
def step_serving(context: Context) -> None:
    body = json.dumps({**GENERATION, 'stream': False})
    post(context, '/v1/generate', body, {})
    assert context.status == 200, context.answer
    assert context.answer['tokens'] == 5


@when("a client requests the status without the operators' token")
def step_no_token(context: Context) -> None:
    node = context.run.deployment.running_nodes()[0]
    request_status(context, f'127.0.0.1:{node.ports.operator}')


@when("a client requests the status at the callers' address")
def step_callers_address(context: Context) -> None:
    request_status(context, caller_address(context))


def request_status(context: Context, address: str) -> None:
    connection = HTTPConnection(address, timeout=30)
    connection.request('GET', '/status')
    response = connection.getresponse()
    context.status = response.status
    response.read()
    connection.close()


@then('it is refused with status {status:d}')
def step_refused(context: Context, status: int) -> None:
    assert context.status == status
