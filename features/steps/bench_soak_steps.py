"""Steps for the soak over a whole deployment of processes."""

import random
from pathlib import Path

from behave import then, when
from behave.runner import Context

from turmericyard_bench.failures import draw_failures
from turmericyard_bench.soak import run_soak

EXAMPLE = Path('examples/vodnik')
#: Shorter than one round, which always runs to its end.
SECONDS = 10


@when('a soak of one round runs with seed {seed:d}')
def step_soak(context: Context, seed: int) -> None:
    context.results = run_soak(
        context.launcher, EXAMPLE.absolute(), seed, SECONDS
    )
    context.drawn = [
        [failure.name for failure in draw_failures(random.Random(seed))]
        for _ in range(2)
    ]
    assert len(context.drawn[0]) in {2, 3}


@then("the seed's failures are the same when drawn again")
def step_same_failures(context: Context) -> None:
    assert context.drawn[0] == context.drawn[1]


@then('every invariant of the soak held')
def step_invariants_held(context: Context) -> None:
    broken = [each for each in context.results if not each.held]
    assert not broken, broken
    assert any(each.cases for each in context.results)
