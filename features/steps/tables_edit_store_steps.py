"""Steps for concurrent edits through a store process."""

import random

import curio
from behave import given, then, when
from behave.runner import Context
from returns.result import Result, Success

from support.examples import parse_example
from turmericyard_clients.http_store import open_http_store
from turmericyard_tables.commit import (
    AcceptedEdit,
    RetryPolicy,
    commit_edit,
)
from turmericyard_tables.document import (
    CONFIGURATION_KEY,
    Document,
    read_document,
)
from turmericyard_tables.edit import Edit, RowChange, diff_rows
from turmericyard_tables.errors import EditError, EditUnknown
from turmericyard_tables.ini import RowKey

Outcome = Result[AcceptedEdit, EditError]


async def commit_one(address: str, edit: Edit, number: int) -> Outcome:
    return await commit_edit(
        open_http_store(address),
        edit,
        pause=curio.sleep,
        rng=random.Random(number),
        policy=RetryPolicy(attempts=6),
    )


async def commit_all(context: Context) -> None:
    tasks = [
        await curio.spawn(commit_one, context.store.address, edit, number)
        for number, edit in enumerate(context.edits)
    ]
    faults = ({'lose_answers': 3}, {'down': True}, {'down': False})
    for fault in faults:
        context.store.control(**fault)
        await curio.sleep(0.15)
    context.outcomes = [await task.join() for task in tasks]


async def read_stored(address: str) -> Document:
    found = await open_http_store(address).read(CONFIGURATION_KEY)
    return read_document(found.unwrap().value).unwrap()


@given('a store process holding the tables of example "{name}"')
def step_store(context: Context, name: str) -> None:
    context.store = context.launcher.start_ready(
        'store', 'turmericyard_bench.standins.store'
    )
    context.base = parse_example(name)
    first = Edit('first', diff_rows({}, context.base.rows))
    assert curio.run(commit_one, context.store.address, first, 0).unwrap()


@when(
    '{count:d} operators each change a different row at once while answers '
    'are lost and the store goes down'
)
def step_concurrent(context: Context, count: int) -> None:
    rows = list(context.base.rows.items())[:count]
    context.edits = []
    for key, row in rows:
        name, text = {
            'route': ('deadline_seconds', '77'),
            'workspace': ('weight', '77'),
        }[key.kind]
        change = RowChange(key, row, {**row, name: text})
        context.edits.append(Edit(f'edit {key.section}', (change,)))
    curio.run(commit_all, context)


def is_stored(document: Document, edit: Edit) -> bool:
    change = edit.changes[0]
    assert isinstance(change, RowChange)
    assert isinstance(change.key, RowKey)
    return document.rows[change.key] == change.after


@then("each operator's answer is correct and no edit is stored twice")
def step_correct(context: Context) -> None:
    document = curio.run(read_stored, context.store.address)
    stored = [each.edit_id for each in document.recent_edits]
    assert len(stored) == len(set(stored)), stored
    for edit, outcome in zip(context.edits, context.outcomes, strict=True):
        recorded = edit.edit_id in stored
        assert recorded == is_stored(document, edit), edit
        if isinstance(outcome, Success):
            assert recorded, edit
        elif not isinstance(outcome.failure(), EditUnknown):
            assert not recorded, (edit, outcome)


@then('every edit is accepted when repeated with its id')
def step_repeated(context: Context) -> None:
    for number, edit in enumerate(context.edits):
        outcome = curio.run(commit_one, context.store.address, edit, number)
        assert isinstance(outcome, Success), outcome
    document = curio.run(read_stored, context.store.address)
    assert len(document.recent_edits) == len(context.edits) + 1
    assert all(is_stored(document, edit) for edit in context.edits)
