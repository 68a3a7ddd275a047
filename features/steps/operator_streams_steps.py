"""Steps for the report on streams."""

import json
import re
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner, Result
from eliot import add_destinations, remove_destination
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st
from returns.result import Success

from turmericyard_operator.main import main
from turmericyard_operator.node_log import TAGS, UnreadableLine, read_log
from turmericyard_operator.stream_causes import Cause, read_history

ATTEMPT = 'at-1'
SEED = 1
EVENT_TEXT = re.compile(r'(?:(?P<node>n-\d) )?(?P<what>.+) at (?P<at>[\d.]+)')


def log_line(kind: str, at: float, prefix: str = '', **fields: Any) -> bytes:
    event = {'message_type': kind, 'timestamp': at, **fields}
    return f'{prefix}{json.dumps(event)}\n'.encode()


def sent(at: float, **fields: Any) -> bytes:
    return log_line('request:sent', at, attempt=ATTEMPT, **fields)


def ended(at: float, outcome: str) -> bytes:
    return log_line('stream:ended', at, attempt=ATTEMPT, outcome=outcome)


#: Log lines of the events of a stream, by their name in the feature.
EVENT_LINES = {
    'started': lambda at: log_line('node:started', at),
    'stopped': lambda at: log_line('node:stopped', at),
    'ended whole': lambda at: ended(at, 'whole'),
    'ended client gone': lambda at: ended(at, 'client gone'),
    'ended broken': lambda at: ended(at, "broken: EOFError('cut')"),
    'copy refused': lambda at: log_line('run:not-copied', at, attempt=ATTEMPT),
    'copied': lambda at: log_line('run:copied', at, attempt=ATTEMPT),
    'continued': lambda at: log_line('stream:continued', at, attempt=ATTEMPT),
    'reopened': lambda at: sent(at, outcome='status 200', continues='h'),
    'not resumed': lambda at: sent(at, outcome='not run: 503', continues='h'),
}


@given('the log of node n-0 has a stream opened at {at:d} with {backup}')
def step_opened(context: Context, at: int, backup: str) -> None:
    holder = None if backup == 'no backup' else 'i-1'
    context.logs = {
        'n-0': [
            log_line('node:started', 1),
            log_line('request:placed', at, attempt=ATTEMPT, prompt=300),
            sent(at, outcome='status 200', backup=holder, continues=None),
        ],
        'n-1': [log_line('node:started', 1)],
    }


@given('then {events}')
def step_events(context: Context, events: str) -> None:
    if events == 'nothing':
        return
    for event in events.split(', '):
        match = EVENT_TEXT.fullmatch(event)
        written = EVENT_LINES[match['what']](float(match['at']))
        context.logs[match['node'] or 'n-0'].append(written)


@when('the report on streams is made')
def step_make(context: Context) -> None:
    context.counted = count_causes(context.logs)


def count_causes(logs: dict[str, list[bytes]]) -> dict[Cause, list[str]]:
    events = [
        event
        for name, lines in logs.items()
        for event in read_log(name, lines).unwrap()
    ]
    return read_history(events).attempts_by_cause()


@then('its stream is counted as {cause:w}')
def step_counted(context: Context, cause: str) -> None:
    assert context.counted == {Cause[cause]: [ATTEMPT]}, context.counted


@given('the log lines of nodes are kept')
def step_keep(context: Context) -> None:
    context.written = []
    add_destinations(context.written.append)
    context.add_cleanup(remove_destination, context.written.append)


@then('the report on these lines counts {number:d} stream as {cause:w}')
def step_world_counted(context: Context, number: int, cause: str) -> None:
    lines = [json.dumps(each, default=str).encode() for each in context.written]
    counted = count_causes({'n-0': lines})
    assert {key: len(each) for key, each in counted.items()} == {
        Cause[cause]: number
    }, counted


def report(document: bytes) -> Result:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'nodes.log'
        path.write_bytes(document)
        return CliRunner().invoke(main, ['report', 'streams', str(path)])


@when('the report on streams is asked for a collected log')
def step_collected(context: Context) -> None:
    lines = []
    for node, attempt in (('n-0', 'at-1'), ('n-1', 'at-2')):
        prefix = f'  12.5 {node} '
        placed = {'attempt': attempt, 'prompt': 300}
        opened = {'attempt': attempt, 'outcome': 'status 200'}
        lines.extend(
            (
                log_line('node:started', 1, prefix),
                log_line('request:placed', 10, prefix, **placed),
                log_line('request:sent', 10, prefix, **opened),
            )
        )
    complete = {'attempt': 'at-1', 'outcome': 'whole'}
    lines.extend(
        (
            log_line('stream:ended', 12, '  12.5 n-0 ', **complete),
            log_line('node:started', 20, '  12.5 n-1 '),
            b'a line of the collector\n',
        )
    )
    context.answered = report(b''.join(lines))


@then('it shows 2 streams, one complete and one lost with its node')
def step_shown(context: Context) -> None:
    shown = context.answered.output
    assert context.answered.exit_code == 0, shown
    assert [each.split() for each in shown.splitlines()] == [
        ['2', 'streams', 'opened'],
        ['1', '50.0%', *Cause.WHOLE.value.split()],
        ['1', '50.0%', *f'{Cause.NODE_LOST.value}, such as at-2'.split()],
    ], shown


@when('the report on streams is asked for a file with a truncated line')
def step_truncated(context: Context) -> None:
    context.answered = report(log_line('node:started', 1) + b'{"message_type":')


@then('it ends with status {status:d} and names the line')
def step_refused(context: Context, status: int) -> None:
    assert context.answered.exit_code == status
    assert 'nodes.log:2' in context.answered.output, context.answered.output


FIELDS = st.dictionaries(
    st.sampled_from(
        ('message_type', 'timestamp', 'attempt', 'outcome', 'prompt')
    ),
    st.one_of(st.sampled_from(sorted(TAGS)), st.floats(), st.none()),
).map(lambda fields: json.dumps(fields).encode())
LINES = st.lists(st.one_of(st.binary(max_size=40), FIELDS))


@when('{number:d} random logs are read')
def step_random(context: Context, number: int) -> None:
    context.read = []

    def check(lines: list[bytes]) -> None:
        read = read_log('n-0', lines)
        if isinstance(read, Success):
            read_history(read.unwrap()).attempts_by_cause()
        else:
            assert isinstance(read.failure(), UnreadableLine)
            assert read.failure().message.startswith('n-0:')
        context.read.append(read)

    checked = settings(max_examples=number, deadline=None, database=None)
    seed(SEED)(checked(given_values(LINES)(check)))()


@then('each gave events or an error that names the line')
def step_read(context: Context) -> None:
    assert len(context.read) >= 100
