"""Steps for the modules that a forwarding node imports at its start."""

import subprocess
import sys

import curio
from behave import then, when
from behave.runner import Context

from turmericyard_node.deferred_imports import DeferredModule, defer_imports
from turmericyard_node.forwarding import instruments
from turmericyard_node.forwarding.exporter import create_exporter

PROGRAM = """from turmericyard_node.forwarding.launch import launch

launch('support.module_lister')
"""


@when('the modules that a node imports before reading its settings are listed')
def step_list(context: Context) -> None:
    listed = subprocess.run(
        (sys.executable, '-c', PROGRAM),
        capture_output=True,
        check=False,
        text=True,
    )
    context.modules = listed.stdout.split()
    assert 'turmericyard_node.forwarding.application' in context.modules


@then('none is of "{packages}"')
def step_none(context: Context, packages: str) -> None:
    named = set(packages.split(', '))
    found = {name.partition('.')[0] for name in context.modules}
    assert not named & found, named & found


@then('there are at most {count:d} modules')
def step_count(context: Context, count: int) -> None:
    assert len(context.modules) <= count, len(context.modules)


@when('the module "{name}" is deferred and then used')
def step_defer(context: Context, name: str) -> None:
    known = sys.modules.pop(name, None)
    try:
        defer_imports([name])
        context.deferred = sys.modules[name]
        assert type(context.deferred) is DeferredModule
        context.used = context.deferred.open
        context.loaded = sys.modules[name]
    finally:
        if known is not None:
            sys.modules[name] = known


@then('it works as an imported module does')
def step_works(context: Context) -> None:
    assert context.loaded is not context.deferred
    assert context.used is context.loaded.open


@when(
    '{before:d} answers are counted before the metrics are first read'
    ' and {after:d} after'
)
def step_measure(context: Context, before: int, after: int) -> None:
    counted = instruments.create_instruments()
    counted.create_exporter = create_exporter
    for _ in range(before):
        counted.record_answer('reads', 200, 0.1)
    curio.run(counted.render)
    for _ in range(after):
        counted.record_answer('reads', 200, 0.1)
    context.metrics = curio.run(counted.render).decode()


@when('more measurements are made before the first scrape than can be kept')
def step_overflow(context: Context) -> None:
    counted = instruments.create_instruments()
    counted.create_exporter = create_exporter
    context.beyond = 7
    for _ in range(instruments.MAX_PENDING_MEASUREMENTS + context.beyond):
        counted.record_send('plain', 'answered')
    context.metrics = curio.run(counted.render).decode()


@then('the metrics show how many were dropped')
def step_dropped(context: Context) -> None:
    dropped = [
        line.rpartition(' ')[2]
        for line in context.metrics.splitlines()
        if line.startswith('turmericyard_forwarding_dropped_measurements_total')
    ]
    assert dropped == [f'{context.beyond:.1f}'], context.metrics
