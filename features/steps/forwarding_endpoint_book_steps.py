"""Steps for the registry of endpoints."""

from behave import then
from behave.runner import Context
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from support.endpoint_book_machine import EndpointBookMachine
from support.machines import machine_settings

EXAMPLES = 300


@then('no history of records sends a request to an endpoint that has left')
def step_no_history(context: Context) -> None:
    run_state_machine_as_test(
        seed(1)(EndpointBookMachine), settings=machine_settings(EXAMPLES)
    )
