"""Steps for edits and for writing them to the store."""

import random

import curio
from behave import given, then, when
from behave.runner import Context
from hypothesis import Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure, Success

from support.edit_machine import create_machine
from support.examples import parse_example
from support.fake_store import FakeStore, Fault
from turmericyard_tables.commit import commit_edit
from turmericyard_tables.document import (
    CONFIGURATION_KEY,
    Document,
    configure,
    encode_document,
    read_document,
)
from turmericyard_tables.edit import (
    Edit,
    PlaceKind,
    RowChange,
    TakeOut,
    apply_edit,
    diff_rows,
    find_edit,
)
from turmericyard_tables.ini import RowKey
from turmericyard_tables.models import Mark


async def no_pause(seconds: float) -> None:
    """Return at once instead of sleeping."""


def stored_document(context: Context) -> Document:
    entry = context.store.entries[CONFIGURATION_KEY]
    return read_document(entry.value).unwrap()


def commit(context: Context, operator: str) -> None:
    async def run() -> object:
        return await commit_edit(
            context.store,
            context.edits[operator],
            pause=no_pause,
            rng=random.Random(0),
        )

    context.result = curio.run(run)


def put_edit(store: FakeStore, edit: Edit) -> None:
    entry = store.entries[CONFIGURATION_KEY]
    document = read_document(entry.value).unwrap()
    value = encode_document(apply_edit(edit, document).unwrap()).unwrap()
    assert store.put(CONFIGURATION_KEY, value, entry.revision, None)


@given('a store holding the tables of example "{name}"')
def step_store(context: Context, name: str) -> None:
    context.store = FakeStore()
    context.edits = {}
    value = encode_document(parse_example(name)).unwrap()
    context.store.put(CONFIGURATION_KEY, value, 0, None)


@given('operator {operator} sets the weight of workspace "{name}" to {n:d}')
def step_weight(context: Context, operator: str, name: str, n: int) -> None:
    key = RowKey('workspace', name)
    before = parse_example('vodnik').rows[key]
    change = RowChange(key, before, {**before, 'weight': str(n)})
    context.edits[operator] = Edit(f'edit-{operator}', (change,))


@given(
    'operator {operator} adds endpoint "{name}" to pool "{pool}" at "{address}"'
)
def step_add_endpoint(
    context: Context, operator: str, name: str, pool: str, address: str
) -> None:
    row = {'pool': pool, 'address': address, 'zone': 'lj-a', 'vm': name}
    change = RowChange(RowKey('endpoint', name), None, row)
    context.edits[operator] = Edit(f'edit-{operator}', (change,))


@given('operator {operator} takes zone "{zone}" out of service')
def step_take_out(context: Context, operator: str, zone: str) -> None:
    change = TakeOut(PlaceKind.ZONE, zone, Mark(1))
    context.edits[operator] = Edit(f'edit-{operator}', (change,))


@given('the stored value is damaged')
def step_damaged(context: Context) -> None:
    context.store.put(CONFIGURATION_KEY, b'{"format": 2}', None, None)


@given('operator {operator} replaces the tables by those of example "{name}"')
def step_replace(context: Context, operator: str, name: str) -> None:
    changes = diff_rows({}, parse_example(name).rows)
    context.edits[operator] = Edit('replace', changes, replace_unreadable=True)


@when("{other}'s edit is accepted between {operator}'s read and {same}'s write")
def step_concurrent(
    context: Context, other: str, operator: str, same: str
) -> None:
    edit = context.edits[other]
    context.store.before_write = lambda: put_edit(context.store, edit)
    commit(context, operator)


@when('{operator:w} commits')
def step_commit(context: Context, operator: str) -> None:
    commit(context, operator)


@when('{operator:w} commits no changes with the same edit id')
def step_repeat(context: Context, operator: str) -> None:
    context.edits[operator] = Edit(f'edit-{operator}', ())
    commit(context, operator)


@when('{operator:w} commits while the answer of the write is lost')
def step_lost_answer(context: Context, operator: str) -> None:
    context.store.faults.extend([Fault.NONE, Fault.ANSWER_LOST])
    commit(context, operator)


@when('{operator:w} commits while the write is delayed and its answer is lost')
def step_delayed(context: Context, operator: str) -> None:
    context.store.faults.extend([Fault.NONE, Fault.LATE])
    commit(context, operator)


@when(
    '{operator:w} commits while the write is delayed and all later ones are '
    'refused'
)
def step_delayed_and_refused(context: Context, operator: str) -> None:
    context.store.write_faults.append(Fault.LATE)
    context.store.write_faults.extend([Fault.UNAVAILABLE] * 20)
    commit(context, operator)


@when('the delayed write takes effect')
def step_delayed_takes_effect(context: Context) -> None:
    context.store.land_late_writes()


@when('{operator:w} commits while the store is down')
def step_down(context: Context, operator: str) -> None:
    context.store.down = True
    commit(context, operator)


@when('{operator:w} commits while the answer is lost and the store goes down')
def step_lost_and_down(context: Context, operator: str) -> None:
    context.store.faults.extend([Fault.NONE, Fault.ANSWER_LOST])
    context.store.faults.extend([Fault.UNAVAILABLE] * 20)
    commit(context, operator)


@when('{operator:w} commits the same edit again with the store up')
def step_again(context: Context, operator: str) -> None:
    context.store.faults.clear()
    context.store.write_faults.clear()
    commit(context, operator)


@then("{operator}'s edit is accepted")
def step_accepted(context: Context, operator: str) -> None:
    assert isinstance(context.result, Success), context.result
    assert find_edit(context.edits[operator], stored_document(context))


@then('{operator}\'s edit fails with {kind} naming "{text}"')
def step_fails(context: Context, operator: str, kind: str, text: str) -> None:
    assert isinstance(context.result, Failure), context.result
    error = context.result.failure()
    assert type(error).__name__ == kind, error
    assert text in error.message, error.message


@then('workspace "{name}" has weight {n:d}')
def step_has_weight(context: Context, name: str, n: int) -> None:
    configuration = configure(stored_document(context), 1).unwrap()
    assert configuration.workspaces[name].weight == n


@then('the store holds {count:d} endpoints')
def step_endpoints(context: Context, count: int) -> None:
    configuration = configure(stored_document(context), 1).unwrap()
    assert len(configuration.endpoints) == count


@then('the store was written once since the tables were applied')
def step_written_once(context: Context) -> None:
    assert len(context.store.changes) == 2, context.store.changes


@then('the store was written {count:d} times since the tables were applied')
def step_written(context: Context, count: int) -> None:
    assert len(context.store.changes) == count + 1


@then('no order of calls, faults and outages loses, repeats or splits an edit')
def step_any_order(context: Context) -> None:
    machine = create_machine(parse_example('vodnik'))
    run_state_machine_as_test(
        seed(11)(machine),
        settings=settings(
            max_examples=80,
            stateful_step_count=30,
            database=None,
            deadline=None,
            phases=[Phase.generate],
        ),
    )
