"""Steps for the load generator and for parts of the benchmarks."""

import json
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from turmericyard_bench.costs.figures import Bound, Figure, render_table
from turmericyard_bench.costs.slopes import Point, fit
from turmericyard_bench.costs.tables import (
    TableSize,
    pools_table,
    routes_table,
)
from turmericyard_bench.deployment import Plan, start_deployment
from turmericyard_bench.load.workload import SHAPES, draw_requests
from turmericyard_bench.meter import Meter
from turmericyard_bench.transcript import (
    output_tokens,
    read_transcript,
    text_stem,
    text_tokens,
)
from turmericyard_tables.build import build_configuration
from turmericyard_tables.ini import parse_tables

PROMPT = (1, 2, 3)
EXAMPLE = Path(__file__).resolve().parents[2] / 'examples' / 'vodnik'


@when(
    'the load of "{name}" is drawn twice with seed {seed:d} at {rate:d} '
    'requests a second for {seconds:d} seconds'
)
def step_draw(
    context: Context, name: str, seed: int, rate: int, seconds: int
) -> None:
    context.loads = [
        list(draw_requests(SHAPES[name], rate, seconds, seed)) for _ in range(2)
    ]


@then('both loads are equal, in order and within {seconds:d} seconds')
def step_equal(context: Context, seconds: int) -> None:
    first, second = context.loads
    assert first == second
    times = [request.at for request in first]
    assert times == sorted(times)
    assert 200 < len(times) < 400
    assert max(times) < seconds


@then("the load's outputs are heavy-tailed and determined by their prompts")
def step_outputs(context: Context) -> None:
    requests = context.loads[0]
    lengths = sorted(request.tokens for request in requests)
    assert lengths[-1] > 10 * lengths[len(lengths) // 2]
    for request in requests:
        determined = output_tokens(text_tokens(request.prompt), 32768, 0)
        assert determined == request.tokens


@when(
    'tables with {engines:d} engines, {services:d} services and '
    '{workspaces:d} workspaces are generated'
)
def step_tables(
    context: Context, engines: int, services: int, workspaces: int
) -> None:
    size = TableSize(engines, services=services, workspaces=workspaces)
    context.tables = (routes_table(size), pools_table(size))


@then('the generated tables build a configuration without faults')
def step_valid(context: Context) -> None:
    rows = parse_tables(*context.tables).unwrap()
    built = build_configuration(rows, zones_out={}, vms_out={}, revision=1)
    assert len(built.unwrap().endpoints) == 1640


@when('points at sizes 3, 6 and 12 have a cost of 10 plus 2 per unit of size')
def step_points(context: Context) -> None:
    points = [
        Point(size, 10 + 2 * size, 1, 1, 1, 1) for size in (3.0, 6.0, 12.0)
    ]
    context.line = fit('nodes', points)[0]


@then(
    'the fitted slope is {slope:d} with intercept {intercept:d} and gives '
    '{cost:d} at {size:d}'
)
def step_line(
    context: Context, slope: int, intercept: int, cost: int, size: int
) -> None:
    assert abs(context.line.slope - slope) < 1e-9
    assert abs(context.line.intercept - intercept) < 1e-9
    assert abs(context.line.cost_at(size) - cost) < 1e-6


@when('a figure of {measured:g} has a target of {bound} {target:d}')
def step_figure(
    context: Context, measured: float, bound: str, target: int
) -> None:
    context.figure = Figure('f', 's', Bound(bound), target, measured)


@then('the table of figures shows the ratio {ratio}')
def step_ratio(context: Context, ratio: str) -> None:
    assert f'| {ratio} |' in render_table([context.figure])


@then('the figure is {verdict}')
def step_verdict(context: Context, verdict: str) -> None:
    assert context.figure.met == (verdict == 'met')


@when('two meters with 100 tokens each are summed')
def step_meters(context: Context) -> None:
    context.meter = Meter()
    for millis in (10, 30):
        meter = Meter(tokens=100)
        meter.outcomes['done'] += 1
        for _ in range(100):
            meter.record_interval(millis / 1000)
        context.meter.add_encoded(json.loads(json.dumps(meter.encode())))


@then('the summed meter has {tokens:d} tokens and their quantiles')
def step_summed(context: Context, tokens: int) -> None:
    summary = context.meter.summary()
    assert summary['tokens'] == tokens
    assert summary['outcomes'] == {'done': 2}
    assert 9.9 < summary['interval_ms']['p50'] < 10.1
    assert 29.9 < summary['interval_ms']['p99'] < 30.1


@when('a caller received {received} of a generation')
def step_received(context: Context, received: str) -> None:
    own = text_stem(PROMPT, 'g')
    other = text_stem(PROMPT, 'h')
    foreign = text_stem((9,), 'g')
    context.received = {
        'all tokens': f'{own}0 {own}1 {own}2 ',
        'a repeated token': f'{own}0 {own}1 {own}1 {own}2 ',
        'a gap': f'{own}0 {own}2 ',
        'tokens of two': f'{own}0 {other}1 ',
        "another prompt's tokens": f'{foreign}0 {foreign}1 ',
    }[received]


@then('the transcript\'s fault is "{fault}"')
def step_fault(context: Context, fault: str) -> None:
    found = read_transcript(PROMPT, context.received).fault
    assert found.startswith(fault), found


@then('the transcript\'s fault is ""')
def step_no_fault(context: Context) -> None:
    assert read_transcript(PROMPT, context.received).fault == ''


@given('a deployment for the load generator')
def step_deployment(context: Context) -> None:
    plan = Plan(EXAMPLE, nodes=2, engine_options=('--step-scale', '0.2'))
    context.load_deployment = start_deployment(context.launcher, plan)


@when(
    'the load generator sends {rate:d} requests a second for {seconds:d} '
    'seconds'
)
def step_load(context: Context, rate: int, seconds: int) -> None:
    addresses = [
        word
        for each in context.load_deployment.addresses()
        for word in ('--address', each)
    ]
    context.load_process = context.launcher.start(
        'load',
        'turmericyard_bench',
        (
            *('load', '--rate', str(rate), '--seconds', str(seconds)),
            *('--seed', '3', '--output', 'json', *addresses),
        ),
    )
    assert context.load_process.wait(120) == 0


@then('the load generator reports no faults and only complete answers')
def step_complete(context: Context) -> None:
    text = context.load_process.log.read_text()
    summary = json.loads(text[text.index('{') :])
    assert not summary['faults']
    assert set(summary['products']['all']['outcomes']) == {'whole'}, summary
