"""Steps for the check of a configuration before it is sent."""

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
from behave import given, then, when
from behave.runner import Context
from curio import subprocess

from support.fleet.world import KEY, World, manifest, play
from turmericyard_bench.launch import LOOPBACK, free_port

COMMAND = (sys.executable, '-m', 'turmericyard_operator.main')
VERSION = 5
OTHER = {'name': 'other', 'apiKeys': ['key-2']}


def twin(value: dict[str, Any]) -> None:
    value['routes'].append({**value['routes'][0], 'name': 'twin'})


def change_route(number: int, **changes: Any) -> Callable[[Any], None]:
    return lambda value: value['routes'][number].update(changes)


def add_workspace(**changes: Any) -> Callable[[Any], None]:
    return lambda value: value['tenants'].append({**OTHER, **changes})


FAULTS = {
    'a route has the host and prefix of another': twin,
    'the weights of a route sum to 0': change_route(
        0, trafficSplit=[{'service': 'plain', 'weight': 0}]
    ),
    'a route names an unknown service': change_route(0, service='none'),
    'a time limit is below the latency target': change_route(
        0, targetLatencyMs=3001, attempts=1
    ),
    'attempts exceed the retry budget': change_route(
        0, attempts=22, timeoutMs=9000
    ),
    'a prefix does not begin with a slash': change_route(0, pathPrefix='read'),
    'two workspaces have the same key': add_workspace(apiKeys=[KEY]),
    'a limit of clients is 0': lambda value: value['limits'].update(
        maxBodyBytes=0
    ),
    'one of two weights is 0': change_route(
        0,
        trafficSplit=[
            {'service': 'plain'},
            {'service': 'engines', 'weight': 0},
        ],
    ),
    'no route names a service': lambda value: value['services'].append(
        {'name': 'spare'}
    ),
    'a workspace has no key': add_workspace(apiKeys=[]),
    'a route that is not repeated has 2 attempts': change_route(1, attempts=2),
    'the time does not suffice for the attempts': change_route(0, attempts=12),
    'a field is misspelt': change_route(0, timoutMs=1),
}


@given('a configuration without findings')
def step_sound(context: Context) -> None:
    context.value = manifest(VERSION)
    context.cut = None
    context.world = None
    assert check(context)[0] == 0
    assert context.shown['findings'] == [], context.shown


def check(context: Context, *options: str, store: str = '') -> Any:
    """Run the check in a process of its own; return its status and errors."""

    async def run() -> Any:
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory, 'new.json')
            file.write_text(json.dumps(context.value)[: context.cut])
            settings = ('--store', store) if store else ()
            return await subprocess.run(
                (
                    *COMMAND,
                    '--output',
                    'json',
                    *settings,
                    'tables',
                    'check-configuration',
                    str(file),
                    *options,
                ),
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                check=False,
            )

    if store:
        return run()
    return keep(context, curio.run(run))


def keep(context: Context, ended: Any) -> Any:
    context.shown = json.loads(ended.stdout) if ended.stdout else None
    context.ended = (ended.returncode, ended.stderr.decode())
    return context.ended


@when('the file is cut off')
def step_cut(context: Context) -> None:
    context.cut = 40
    check(context)


@when('it is compared with an {age} version in the store')
@when('it is compared with a {age} version in the store')
def step_compare(context: Context, age: str) -> None:
    stored = manifest(VERSION - 1 if age == 'older' else VERSION + 1)
    stored['routes'][0]['attempts'] = 1
    stored['tenants'][0]['apiKeys'] = ['key-secret']

    async def scenario(world: World) -> None:
        world.store.put('op/config', stored)
        address = await world.serve('asked', world.store.answer)
        context.before = world.store.revision
        keep(context, await check(context, store=address))
        context.after = world.store.revision

    play(scenario)


@when('it is compared while the store is down')
def step_down(context: Context) -> None:
    async def scenario(world: World) -> None:
        address = f'{LOOPBACK}:{free_port()}'
        keep(context, await check(context, store=address))

    play(scenario)


@when('it is checked when {fault}')
def step_fault(context: Context, fault: str) -> None:
    FAULTS[fault](context.value)
    check(context)


@then('the check ends with status {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.ended[0] == status, (context.ended, context.shown)


@then('the strict check ends with status {status:d}')
def step_strict(context: Context, status: int) -> None:
    assert check(context, '--strict')[0] == status, context.ended


@then('its only finding is a {severity} of the rule "{rule}" at "{place}"')
def step_finding(
    context: Context, severity: str, rule: str, place: str
) -> None:
    found = [
        (each['severity'], each['rule'], each['place'])
        for each in context.shown['findings']
    ]
    assert found == [(severity, rule, place)], context.shown


@then('its error names the file')
def step_file(context: Context) -> None:
    assert 'new.json' in context.ended[1], context.ended


@then('the changes are of "{first}" and "{second}", without keys')
def step_changes(context: Context, first: str, second: str) -> None:
    changes = context.shown['changes']
    assert [each['place'] for each in changes] == [first, second], changes
    assert (changes[0]['before'], changes[0]['after']) == (
        {'attempts': 1},
        {'attempts': 2},
    )
    assert 'key-secret' not in json.dumps(context.shown)
    assert KEY not in json.dumps(context.shown)


@then('the store got no write')
def step_no_write(context: Context) -> None:
    assert context.before == context.after
