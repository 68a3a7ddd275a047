"""Steps for the ticks that loops of a node share."""

from random import Random

from behave import then, when
from behave.runner import Context

from turmericyard_node.clock import seconds_to_tick

INTERVALS = (0.25, 0.5, 1.0, 2.0)
SIMULATED_SECONDS = 60
ORIGIN = 1234.567
SEED = 5
#: Maximum time by which a wake-up is early or late, and maximum duration of
#: its work, in seconds.
MAX_EARLY_SECONDS = 1e-6
MAX_LATE_SECONDS = 0.002
MAX_WORK_SECONDS = 0.05


@when(
    'loops of 0.25, 0.5, 1 and 2 seconds run for 60 seconds of a simulated clock'
)
def step_run(context: Context) -> None:
    generator = Random(SEED)
    context.wakes, context.sleeps = [], []
    for interval in INTERVALS:
        now = ORIGIN + generator.random()
        while now < ORIGIN + SIMULATED_SECONDS:
            left = seconds_to_tick(now, interval, ORIGIN)
            context.sleeps.append((left, interval))
            now += left + generator.uniform(
                -MAX_EARLY_SECONDS, MAX_LATE_SECONDS
            )
            context.wakes.append(now)
            now += generator.uniform(0, MAX_WORK_SECONDS)


@then('the process wakes up once for each quarter of a second')
def step_shared(context: Context) -> None:
    quarters = {round((wake - ORIGIN) / INTERVALS[0]) for wake in context.wakes}
    for wake in context.wakes:
        nearest = round((wake - ORIGIN) / INTERVALS[0]) * INTERVALS[0]
        assert abs(wake - ORIGIN - nearest) <= MAX_LATE_SECONDS, wake
    assert len(quarters) <= SIMULATED_SECONDS / INTERVALS[0] + 1


@then('no loop sleeps longer than its interval plus one hundredth')
def step_no_longer(context: Context) -> None:
    for left, interval in context.sleeps:
        assert 0 < left <= interval * 1.01, (left, interval)
