"""Steps for the book of endpoints."""

from behave import then
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from support.endpoint_book_machine import EndpointBookMachine

EXAMPLES = 300
STEPS = 40


@then('no history of records sends a request to an endpoint that left')
def step_no_history(context: Context) -> None:
    run_state_machine_as_test(
        EndpointBookMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            database=None,
        ),
    )
