"""Steps for the soak of forwarding nodes as real processes."""

from behave import then, when
from behave.runner import Context

from support.fleet_soak.faults import PER_ROUND
from support.fleet_soak.soak import draw_round, run_soak


@when('a soak of forwarding nodes runs one round with seed {seed:d}')
def step_soak(context: Context, seed: int) -> None:
    context.broken = run_soak(context.launcher, seed, seconds=0)
    context.drawn = [
        [(fault.name, source.random()) for fault, source in draw_round(seed, 0)]
        for _ in range(2)
    ]


@then('every promise of the soak held')
def step_held(context: Context) -> None:
    broken = {name: found for name, found in context.broken.items() if found}
    assert not broken, broken
    fewest, most = PER_ROUND
    assert fewest <= len(context.drawn[0]) <= most
