"""Steps for claims on request keys."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from support.claim_machine import ClaimMachine
from support.machines import machine_settings
from turmericyard_decisions.claim import (
    MAX_OUTCOME_BYTES,
    Abandon,
    Acquire,
    Partition,
    Record,
    apply_change,
)

MISSING = {
    'values are compared before they are replaced': {'compares': False},
    'the age of a claim is checked': {'checks_age': False},
    'claims are kept for the retention': {'retains': False},
}


@when('claims run {examples:d} histories with seed {n:d}')
def step_run_claims(context: Context, examples: int, n: int) -> None:
    run_state_machine_as_test(
        seed(n)(type('Claims', (ClaimMachine,), {})),
        settings=machine_settings(examples),
    )


@then('no key ran twice and every refusal was correct')
def step_claims_held(context: Context) -> None:
    """Do nothing: the histories of the previous step raise on a failure."""


@then('within {examples:d} histories a key runs twice unless "{protection}"')
def step_claims_unprotected(
    context: Context, examples: int, protection: str
) -> None:
    for n in range(1, 7):
        machine = type('Claims', (ClaimMachine,), MISSING[protection])
        try:
            run_state_machine_as_test(
                seed(n)(machine), settings=machine_settings(examples)
            )
        except AssertionError:
            return
    raise AssertionError(
        f'no history failed without this protection: {protection}'
    )


@given('an empty partition of claims')
def step_partition(context: Context) -> None:
    context.partition = Partition()


@when('attempt {claimant} claims with body {body}')
def step_acquire(context: Context, claimant: str, body: str) -> None:
    change(context, Acquire('key', claimant, body))


@when('attempt {claimant} records "{outcome}"')
def step_record(context: Context, claimant: str, outcome: str) -> None:
    change(context, Record('key', claimant, 'one', outcome))


@when('attempt {claimant} records an outcome that is too long')
def step_record_long(context: Context, claimant: str) -> None:
    text = 'x' * (MAX_OUTCOME_BYTES + 1)
    change(context, Record('key', claimant, 'one', text))


@when('attempt {claimant} abandons its claim')
def step_abandon(context: Context, claimant: str) -> None:
    change(context, Abandon('key', claimant, 'one'))


@when('the retention period ends')
def step_rotate(context: Context) -> None:
    context.partition = context.partition.rotate()


def change(context: Context, wanted: Acquire | Record | Abandon) -> None:
    context.partition, context.verdict = apply_change(wanted, context.partition)


@then('the claim is answered {verdict}')
def step_verdict(context: Context, verdict: str) -> None:
    assert str(context.verdict) == verdict, context.verdict
