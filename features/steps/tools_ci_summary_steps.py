"""Steps for the summary of a run."""

import json
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from support.failed_logs import keep_logs

TOOL = Path(__file__).parents[2] / 'tools' / 'ci_summary.py'
NAME = 'A thing works'
LAST_LINE = '\nlast line\n'


def report(seconds: float) -> list[object]:
    given_step = {
        'keyword': 'Given',
        'name': 'a thing',
        'result': {'status': 'passed', 'duration': 1.0},
    }
    failed = {
        'keyword': 'When',
        'name': 'it is asked',
        'match': {'location': 'features/steps/thing.py:7'},
        'result': {
            'status': 'error',
            'duration': seconds - 1.0,
            'error_message': 'frame\n' * 1000 + 'ValueError: at the end',
        },
    }
    untested = {'keyword': 'Then', 'name': 'it answers'}
    location = 'features/thing.feature:3'
    elements = [
        {'type': 'background', 'name': '', 'steps': []},
        {
            'type': 'scenario',
            'name': NAME,
            'location': location,
            'status': 'error',
            'steps': [given_step, failed, untested],
        },
        {
            'type': 'scenario',
            'name': 'Another works',
            'location': location,
            'status': 'passed',
            'steps': [given_step],
        },
    ]
    return [{'elements': elements}]


@given('a report with a scenario that failed after {seconds:f} seconds')
def step_report(context: Context, seconds: float) -> None:
    path = context.launcher.directory / 'behave.json'
    path.write_text(json.dumps(report(seconds)))


@given('its name ends with a blank')
def step_blank(context: Context) -> None:
    path = context.launcher.directory / 'behave.json'
    path.write_text(path.read_text().replace(NAME, f'{NAME} '))


@given('it is listed as known red')
def step_known(context: Context) -> None:
    path = context.launcher.directory / 'known.txt'
    path.write_text(f'test: {NAME}\nissue: 1\n')


@given(
    '{scenarios:d} failed scenarios with {logs:d} logs of {size:d}'
    ' characters each'
)
def step_logs(context: Context, scenarios: int, logs: int, size: int) -> None:
    directory = context.launcher.directory
    for number in range(logs):
        log = directory / f'node-{number}.log'
        log.write_text('x' * (size - len(LAST_LINE)) + LAST_LINE)
    for number in range(scenarios):
        keep_logs(directory / 'logs.txt', f'scenario {number}', directory)


@when('the summary is printed')
def step_print(context: Context) -> None:
    directory = context.launcher.directory
    context.summary = subprocess.run(
        (
            sys.executable,
            TOOL,
            *('--report', directory / 'behave.json'),
            *('--known-red', directory / 'known.txt'),
            *('--logs', directory / 'logs.txt'),
        ),
        capture_output=True,
        text=True,
        check=False,
    )
    context.lines = context.summary.stdout.splitlines()


@then('it has the line "{line}"')
def step_line(context: Context, line: str) -> None:
    assert line in context.lines, context.summary


@then('{count:d} lines of it are "{line}"')
def step_count(context: Context, count: int, line: str) -> None:
    assert context.lines.count(line) == count, context.summary


@then('its last line is "{line}"')
def step_last(context: Context, line: str) -> None:
    assert context.lines[-1] == line, context.summary


@then('its exit status is {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.summary.returncode == status, context.summary


@then('it is at most {size:d} characters long')
def step_size(context: Context, size: int) -> None:
    assert len(context.summary.stdout) <= size, len(context.summary.stdout)
