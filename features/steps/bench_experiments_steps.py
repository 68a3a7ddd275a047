"""Steps for the experiments with the policy under load."""

from functools import cache

from behave import then, when
from behave.runner import Context

from turmericyard_bench.experiments.comparison import measure
from turmericyard_bench.experiments.runs import OWN, RunSpec, run_one
from turmericyard_bench.experiments.targets import TARGETS
from turmericyard_bench.workers import default_workers

SEEDS = range(1, 6)
TAIL_TARGET = 'P99 time between tokens at tail weight 1, share of that at 0'
STALL_TARGET = 'stall time at tail weight 0, share of that at 1'


@cache
def verdicts():
    measured = measure(
        TARGETS, ('vodnik',), SEEDS, default_workers(), with_limits=False
    )
    return {verdict.target: verdict for verdict in measured}


@when("the policy's targets are measured")
def step_measure(context: Context) -> None:
    context.verdicts = verdicts()


@then('the target "{name}" is met')
def step_met(context: Context, name: str) -> None:
    verdict = context.verdicts[name]
    assert verdict.met, verdict


@then('two runs of the light workload with seed {seed:d} agree in every figure')
def step_agree(context: Context, seed: int) -> None:
    spec = RunSpec('light', 'vodnik', OWN, seed)
    assert run_one(spec) == run_one(spec)


@when('the mixed workload runs at tail weights 0 and 1')
def step_weights(context: Context) -> None:
    context.verdicts = verdicts()


@then('weight 1 has the lower P99 time between tokens')
def step_tail(context: Context) -> None:
    verdict = context.verdicts[TAIL_TARGET]
    assert 0 < verdict.measured < verdict.baseline, verdict


@then('weight 0 has at most the same stall time')
def step_stall(context: Context) -> None:
    verdict = context.verdicts[STALL_TARGET]
    assert verdict.measured <= verdict.baseline, verdict
