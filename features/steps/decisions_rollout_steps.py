"""Steps for the comparison of versions and the stages of a roll-out."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.rollout_stage import (
    ExposureBudget,
    Progress,
    Stage,
    next_stage,
)
from turmericyard_decisions.version_comparison import (
    TIME_CLASSES,
    Evidence,
    VersionComparison,
    time_class,
)

#: Responses of the old version for each of the new one, and between two looks.
RATIO = 9
BATCH = 5


def draw(random: Random, failures: float, slow: float, times: float) -> int:
    """Return the place of a drawn response in the counts."""
    if random.random() < failures / 100:
        return 0
    seconds = random.uniform(0.04, 0.12)
    if random.random() < slow / 100:
        seconds *= times
    return 1 + time_class(seconds)


def responses_until_found(context: Context, seed: int, most: int) -> int | None:
    """Return after how many responses since the fault a version is found."""
    random = Random(seed)
    comparison = VersionComparison()
    old = [0] * (1 + TIME_CLASSES)
    new = [0] * (1 + TIME_CLASSES)
    for number in range(context.since + most):
        for _ in range(RATIO):
            old[draw(random, context.old, 0, 1)] += 1
        fault = (context.failures, context.slow, context.times)
        is_faulty = number >= context.since
        new[draw(random, *(fault if is_faulty else (context.old, 0, 1)))] += 1
        if number % BATCH == 0:
            comparison.observe({'a': (list(old), list(new))}, number / 10)
            if comparison.evidence().is_bad:
                return number - context.since
    return None


@given('an old version with {old:g}% failures and times of 40 to 120 ms')
def step_old(context: Context, old: float) -> None:
    context.old = old


@when(
    'the new one has {failures:g}% failures and {slow:g}% of its responses'
    ' {times:g} times slower after {since:d} responses'
)
def step_new(
    context: Context, failures: float, slow: float, times: float, since: int
) -> None:
    context.failures = failures
    context.slow = slow
    context.times = times
    context.since = since


@then(
    'it is found within {most:d} responses of the new version in 99 of 100 runs'
)
def step_found(context: Context, most: int) -> None:
    took = [responses_until_found(context, seed, most) for seed in range(100)]
    missed = sum(each is None or each < 0 for each in took)
    assert missed <= 1, (missed, took)


@then('it is found bad in none of 40 runs of 1000 responses')
def step_not_found(context: Context) -> None:
    took = [responses_until_found(context, seed, 1000) for seed in range(40)]
    assert all(each is None for each in took), took


@when('the new one fails 40% of the requests of one of four routes')
def step_one_route(context: Context) -> None:
    random = Random(1)
    context.comparison = VersionComparison()
    totals = {
        name: ([0] * (1 + TIME_CLASSES), [0] * (1 + TIME_CLASSES))
        for name in 'abcd'
    }
    for number in range(400):
        for name, (old, new) in totals.items():
            old[draw(random, 0, 0, 1)] += 5
            new[draw(random, 40 if name == 'c' else 0, 0, 1)] += 1
        context.comparison.observe(
            {
                name: (list(old), list(new))
                for name, (old, new) in totals.items()
            },
            number / 10,
        )
        if context.comparison.evidence().is_bad:
            return


@then('it is found on that route')
def step_on_route(context: Context) -> None:
    evidence = context.comparison.evidence()
    assert evidence.is_bad, evidence
    assert evidence.route == 'c', evidence


@given('a roll-out in stage {stage:w} at {age:g} of {duration:g} seconds')
def step_stage(
    context: Context, stage: str, age: float, duration: float
) -> None:
    context.progress = Progress(Stage[stage.upper()], 2, age, duration, 3)


@when('it has {good:d} good responses and a suspicion of {suspicion:g}')
def step_evidence(context: Context, good: int, suspicion: float) -> None:
    evidence = Evidence(good, 20 if suspicion else 0, suspicion)
    context.stage, _ = next_stage(context.progress, evidence)


@then('its next stage is {stage:w}')
def step_next(context: Context, stage: str) -> None:
    assert context.stage is Stage[stage.upper()], context.stage


@given('{nodes:d} nodes that may send a share of {share:g} and {slack:d} more')
def step_nodes(context: Context, nodes: int, share: float, slack: int) -> None:
    context.budgets = [
        ExposureBudget(share, slack / nodes) for _ in range(nodes)
    ]


@when(
    '{requests:d} requests arrive at random nodes and all want the new version'
)
def step_requests(context: Context, requests: int) -> None:
    random = Random(1)
    context.requests = requests
    for _ in range(requests):
        budget = random.choice(context.budgets)
        budget.sent += 1
        budget.sent_new += budget.allows(1)


@then('at most a tenth of them and 50 go to it, and at least {least:d}')
def step_bound(context: Context, least: int) -> None:
    sent_new = sum(budget.sent_new for budget in context.budgets)
    assert least <= sent_new <= context.requests / 10 + 50, sent_new
