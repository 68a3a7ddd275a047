"""Steps for the operators' command."""

import json
import subprocess
import sys
from configparser import ConfigParser
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

EXAMPLE = Path(__file__).parents[2] / 'examples/vodnik'
COMMAND = (sys.executable, '-m', 'turmericyard_operator.main')
TIMEOUT_SECONDS = 60


@given('a store and the tables of the Vodnik example')
def step_store(context: Context) -> None:
    context.store = context.launcher.start_ready(
        'store', 'turmericyard_bench.standins.store'
    )
    directory = context.launcher.directory
    context.files = {}
    for name in ('routes', 'pools'):
        path = directory / f'{name}.ini'
        path.write_text((EXAMPLE / f'{name}.ini').read_text())
        context.files[name.upper()] = str(path)


def run(context: Context, arguments: str, store: bool = True) -> None:
    words = [context.files.get(word, word) for word in arguments.split()]
    options = ['--output', 'json']
    if store:
        options += ['--store', context.store.address]
    context.ended = subprocess.run(
        (*COMMAND, *options, *words),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


@when('the operator runs "{arguments}"')
def step_run(context: Context, arguments: str) -> None:
    run(context, arguments)


@when('an operator without settings runs "{arguments}"')
def step_run_bare(context: Context, arguments: str) -> None:
    run(context, arguments, store=False)


@given('the operator has run "{arguments}"')
def step_has_run(context: Context, arguments: str) -> None:
    run(context, arguments)
    assert context.ended.returncode == 0, context.ended.stderr


@given('two operators have run "tables show --directory DIRECTORY"')
def step_two_show(context: Context) -> None:
    for name in ('first', 'second'):
        directory = context.launcher.directory / name
        step_has_run(context, f'tables show --directory {directory}')


@given('the pools file has a row for an unknown pool and a duplicate address')
def step_wrong_pools(context: Context) -> None:
    path = Path(context.files['POOLS'])
    path.write_text(
        f'{path.read_text()}\n[endpoint stray]\npool = nowhere\n'
        'address = 127.0.0.1:21001\nzone = lj-a\nvm = vm-stray\n'
    )


@given('the pools file has a pool that no route names, without endpoints')
def step_spare_pool(context: Context) -> None:
    path = Path(context.files['POOLS'])
    path.write_text(
        f'{path.read_text()}\n[pool spare]\nproducts = booking\n'
        'kind = service\ncold_limit = 1\nlimit = 2\n'
    )


@given('the store is down')
def step_down(context: Context) -> None:
    context.store.control(down=True)


@given('the store loses its next answer')
def step_lose(context: Context) -> None:
    context.store.control(lose_answers=1)


@when('the {who} sets "{key}" of "[{section}]" to "{text}" and applies')
def step_set(
    context: Context, who: str, key: str, section: str, text: str
) -> None:
    directory = context.launcher.directory / who
    path = directory / 'routes.ini'
    parser = ConfigParser(interpolation=None)
    parser.read(path)
    parser[section][key] = text
    with path.open('w') as file:
        parser.write(file)
    run(context, f'tables apply {path} {directory / "pools.ini"}')


@then('the command ends with status {status:d}')
def step_status(context: Context, status: int) -> None:
    ended = context.ended
    assert ended.returncode == status, (ended.returncode, ended.stderr)


@then('its JSON output has "{key}" {number:d}')
def step_number(context: Context, key: str, number: int) -> None:
    assert json.loads(context.ended.stdout)[key] == number


@then('its JSON output has {count:d} findings at "{place}" and 1 change')
def step_findings(context: Context, count: int, place: str) -> None:
    shown = json.loads(context.ended.stdout)
    places = [each['place'] for each in shown['findings']]
    assert places == [place] * count, shown
    assert [each['row'] for each in shown['changes']] == ['pool spare'], shown


@then('its JSON output has no "{key}"')
def step_empty(context: Context, key: str) -> None:
    assert not json.loads(context.ended.stdout)[key], context.ended.stdout


@then('its JSON output names "{zone}" as out for "{reason}"')
def step_out(context: Context, zone: str, reason: str) -> None:
    marks = json.loads(context.ended.stdout)['out']
    assert marks[zone]['reason'] == reason


@then('its error names "{first}" and "{second}"')
def step_names(context: Context, first: str, second: str) -> None:
    text = context.ended.stderr
    assert first in text, text
    assert second in text, text


@then('both changes are stored')
def step_both(context: Context) -> None:
    run(context, 'tables show')
    parser = ConfigParser(interpolation=None)
    parser.read_string(json.loads(context.ended.stdout)['routes'])
    assert parser['route booking']['priority'] == '3'
    assert parser['route visit-history']['deadline_seconds'] == '9'
