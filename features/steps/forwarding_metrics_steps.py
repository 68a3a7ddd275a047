"""Steps for the metrics that a forwarding node serves."""

from behave import given, then
from behave.runner import Context
from prometheus_client.parser import text_string_to_metric_families

from support.fleet.world import World
from turmericyard_http.client import HttpClient

PREFIX = 'turmericyard_forwarding_'
#: The first scrape loads the metrics library, which is slow on a busy machine.
FIRST_SCRAPE_SECONDS = 15


@given('the metrics are read at the end')
def step_read(context: Context) -> None:
    context.afterwards = keep_metrics


@given('a world with an endpoint and a node whose metrics address is in use')
def step_taken(context: Context) -> None:
    async def build(world: World) -> None:
        runner = await world.add_runner('i-0', 'plain')
        await world.add_node('n-0', metrics=runner.address)
        await world.ready()

    context.build = build
    context.prepare = []


async def keep_metrics(context: Context) -> None:
    """Keep the metrics of the first node for the checks."""
    client = HttpClient(context.world.nodes['n-0'].settings.metrics)
    answered = await client.request(
        'GET', '/metrics', timeout_seconds=FIRST_SCRAPE_SECONDS, fresh=True
    )
    await client.close()
    context.metrics = answered.unwrap().body.decode()


def counted(context: Context, name: str, **labels: str) -> float:
    """Return the sum of the samples that have all labels."""
    return sum(
        sample.value
        for family in text_string_to_metric_families(context.metrics)
        for sample in family.samples
        if sample.name == PREFIX + name
        and labels.items() <= sample.labels.items()
    )


@then(
    'the metrics count {count:d} answer of route "{route}" with status {status}'
)
@then('the metrics count {count:d} answer of route "" with status {status}')
def step_answers(
    context: Context, count: int, status: str, route: str = ''
) -> None:
    found = counted(context, 'answers_total', route=route, status=status)
    assert found == count, context.metrics


@then(
    'the metrics count {count:d} stream of "{service}" that ended "{outcome}"'
)
def step_streams(
    context: Context, count: int, service: str, outcome: str
) -> None:
    found = counted(context, 'streams_total', service=service, outcome=outcome)
    assert found == count, context.metrics


@then('the metrics count {count:d} sends to "{service}" that were "{outcome}"')
def step_sends(
    context: Context, count: int, service: str, outcome: str
) -> None:
    found = counted(context, 'sends_total', service=service, outcome=outcome)
    assert found == count, context.metrics


@then(
    'the metrics count at least {count:d} {what} to "{service}"'
    ' that was "{outcome}"'
)
@then(
    'the metrics count at least {count:d} {what} of "{service}"'
    ' that was "{outcome}"'
)
def step_at_least(
    context: Context, count: int, what: str, service: str, outcome: str
) -> None:
    name = {'send': 'sends_total', 'copy': 'copies_total'}[what]
    found = counted(context, name, service=service, outcome=outcome)
    assert found >= count, context.metrics


@then('the histograms of first events and longest gaps hold {count:d} stream')
def step_histograms(context: Context, count: int) -> None:
    for name in ('first_event_seconds_count', 'longest_gap_seconds_count'):
        assert counted(context, name) == count, context.metrics
