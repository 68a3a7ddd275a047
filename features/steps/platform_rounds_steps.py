"""Steps for the comparison of rounds on the users' bench."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from turmericyard_rounds.__main__ import main

SITE = 'a-site'


def entry(hour: int, worth: float, head: str, **changes: Any) -> dict[str, Any]:
    day = {'name': 'trouble-1', 'G': worth, 'kind': 'trouble', 'rules': {}}
    return {
        'at': [f'2026-12-04T{hour:02}:00:00Z', ''],
        'cmd': 'score',
        'head': head,
        'dirty': False,
        'ok': True,
        'site': SITE,
        'score': worth,
        'days': [day],
        **changes,
    }


@given(
    'a journal with trouble-1 of worth {before:f} at commit {old:w} and {now:f}'
    ' at commit {new:w}'
)
def step_journal(
    context: Context, before: float, old: str, now: float, new: str
) -> None:
    context.entries = [entry(10, now, new), entry(9, before, old)]


@given('its last entry has the rule {rule} broken on trouble-1')
def step_rule(context: Context, rule: str) -> None:
    context.entries[0]['days'][0]['rules'] = {rule: [1, 2]}


@given(
    'more entries: an unfinished one, one of a changed tree, one without a'
    ' score and one of the same commit'
)
def step_others(context: Context) -> None:
    context.entries.extend(
        (
            entry(11, 0.1, 'ccc', ok=False, site=None, score=None, days=[]),
            entry(11, 0.1, 'ccc', dirty=True),
            entry(11, 0.1, 'ccc', cmd='run', score=None),
            entry(8, 0.9, 'bbb'),
        )
    )


@given('a journal with an invalid entry')
def step_invalid(context: Context) -> None:
    context.entries = ['invalid']


@when('the rounds are compared')
def step_compare(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for number, each in enumerate(context.entries):
            path = Path(folder) / f'{number}.json'
            path.write_text(json.dumps(each), encoding='utf-8')
        context.invocation = CliRunner().invoke(main, ['compare', folder])


@then('the verdict on trouble-1 is "{verdict}"')
def step_verdict(context: Context, verdict: str) -> None:
    rows = [
        row.strip(' |').split(' | ')
        for row in context.invocation.output.splitlines()
        if row.startswith('| trouble-1')
    ]
    assert [row[-1] for row in rows] == [verdict], context.invocation.output


@then('the comparison ends with status {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.invocation.exit_code == status, context.invocation.output


@then('the error names the invalid entry')
def step_named(context: Context) -> None:
    assert '0.json' in context.invocation.output, context.invocation.output
