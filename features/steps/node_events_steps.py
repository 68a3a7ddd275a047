"""Steps for the catalogue of log events."""

import re
from pathlib import Path

from behave import given, then
from behave.runner import Context

from turmericyard_node.events import Event

CATALOGUE_ROW = re.compile(r'^\| (\d+) \| `([a-z:-]+)` \|', re.MULTILINE)
ROOT = Path(__file__).parents[2]
SOURCES = ROOT / 'packages/turmericyard-node/src'


@given('the catalogue of log events')
def step_catalogue(context: Context) -> None:
    text = (ROOT / 'docs/EVENTS.md').read_text(encoding='utf-8')
    context.rows = {
        (int(number), name) for number, name in CATALOGUE_ROW.findall(text)
    }


@then('each event of the code is in the catalogue with its number and name')
def step_documented(context: Context) -> None:
    missing = {event.value for event in Event} - context.rows
    assert not missing, missing


@then('the catalogue has no other event')
def step_no_other(context: Context) -> None:
    extra = context.rows - {event.value for event in Event}
    assert not extra, extra


@then('each event is logged by the code')
def step_logged(context: Context) -> None:
    code = ''.join(
        path.read_text(encoding='utf-8') for path in SOURCES.rglob('*.py')
    )
    unused = [each for each in Event if f'Event.{each.name}' not in code]
    assert not unused, unused
