"""Steps for the pace of an endpoint's tokens."""

from behave import given, then
from behave.runner import Context

from turmericyard_decisions.pace import PaceMeter, PaceSample


@given('a node that relayed {count:d} tokens with gaps of {gap:g} seconds')
def step_relayed(context: Context, count: int, gap: float) -> None:
    meter = PaceMeter()
    meter.observe(None)
    for _ in range(count - 1):
        meter.observe(gap)
    context.meter = meter
    if not hasattr(context, 'samples'):
        context.samples = []
    context.samples.append(meter.take_sample())


@then('the pace over both lies between {low:g} and {high:g} seconds')
def step_pace(context: Context, low: float, high: float) -> None:
    first, second = context.samples
    assert low <= first.plus(second).seconds_per_token() <= high


@then('its next sample is empty')
def step_empty(context: Context) -> None:
    assert context.samples[0].tokens == 10
    assert context.samples[0].gaps == 9
    assert context.meter.take_sample() == PaceSample()
