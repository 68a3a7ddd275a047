"""Steps for the node's view of the store."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from support.machines import machine_settings
from support.view_machine import ViewMachine
from turmericyard_clients.store import Change
from turmericyard_node.forwarding.view import StoreView

EXAMPLES = 300


@then(
    'no history of two lagging hubs, lost updates and snapshots makes it older'
)
def step_no_history(context: Context) -> None:
    run_state_machine_as_test(
        seed(1)(ViewMachine), settings=machine_settings(EXAMPLES)
    )


@given('a view that knows "{key}" at revision {revision:d}')
def step_view(context: Context, key: str, revision: int) -> None:
    context.view = StoreView()
    context.view.apply(revision, [Change(key, b'', revision)])


@when(
    'its removal at revision {removal:d} arrives and then its change at'
    ' revision {late:d}'
)
def step_late(context: Context, removal: int, late: int) -> None:
    key = next(iter(context.view.items))
    context.view.apply(removal, [Change(key, None, removal)])
    context.view.apply(late, [Change(key, b'', late)])


@then('the view does not know "{key}"')
def step_unknown(context: Context, key: str) -> None:
    assert key not in context.view.items
