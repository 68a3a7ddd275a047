"""Steps for the interval histogram and the end of a relay."""

from types import SimpleNamespace

import curio
from behave import then, when
from behave.runner import Context

from turmericyard_node.callers.relay import create_relay
from turmericyard_node.callers.relay_body import create_relay_body
from turmericyard_node.interval_histogram import IntervalHistogram
from turmericyard_node.metrics import INTERVAL_BUCKETS


@when(
    '{count:d} tokens arrive {seconds:g} seconds after the previous one of product '
    '"{product}"'
)
def step_tokens(
    context: Context, count: int, seconds: float, product: str
) -> None:
    if 'intervals' not in context:
        context.intervals = IntervalHistogram(INTERVAL_BUCKETS)
    context.intervals.record(product, seconds, count)


def samples(context: Context, product: str, suffix: str):
    (family,) = context.intervals.collect()
    assert family.name == 'turmericyard_token_interval_seconds'
    return [
        sample
        for sample in family.samples
        if sample.labels['product'] == product and sample.name.endswith(suffix)
    ]


@then('{count:d} intervals of product "{product}" are at most {bound} seconds')
def step_at_most(
    context: Context, count: int, product: str, bound: str
) -> None:
    (found,) = [
        sample.value
        for sample in samples(context, product, '_bucket')
        if sample.labels['le'] == bound
    ]
    assert found == count, found


@then('the intervals of product "{product}" sum to {seconds:g} seconds')
def step_sum(context: Context, product: str, seconds: float) -> None:
    (found,) = samples(context, product, '_sum')
    assert abs(found.value - seconds) < 1e-9


class FakeAbandoned:
    def __init__(self) -> None:
        self.points = []

    async def add(self, point) -> None:
        self.points.append(point)


@when("a relay's body is closed before its first event")
def step_close_early(context: Context) -> None:
    abandoned = FakeAbandoned()
    application = SimpleNamespace(
        clock=lambda: 1.0, streams=set(), abandoned_generations=abandoned
    )
    point = SimpleNamespace(product='report')
    relay = create_relay(application, 0, point, None)
    body = create_relay_body(relay)
    context.removed_early = relay not in application.streams
    curio.run(body.aclose)
    context.relay_end = (application.streams, abandoned.points, point)


@then('the node drops the relay and may cancel its generation')
def step_relay_settled(context: Context) -> None:
    assert not context.removed_early
    streams, points, point = context.relay_end
    assert not streams
    assert points == [point]
