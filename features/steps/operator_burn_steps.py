"""Steps for the report on the burn of error budgets."""

import dataclasses
import json
import re

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st
from returns.result import Failure

from support.burn_samples import BY_HAND, NOON, ROUTE, node_sample
from support.runs import start_run
from turmericyard_bench.node_settings import OPERATOR_TOKEN
from turmericyard_operator.burn_html import render_page
from turmericyard_operator.burn_options import Rule
from turmericyard_operator.burn_rate import DEFAULT_RULES
from turmericyard_operator.burn_report import create_report
from turmericyard_operator.burn_samples import (
    InvalidSamples,
    MissingSample,
    decode_samples,
    encode_samples,
    parse_scrape,
)
from turmericyard_operator.burn_text import report_text, report_values

PERIOD_SECONDS = 30 * 86_400
FUZZ = settings(max_examples=300, database=None, deadline=None)


@given('the burn samples of the calculated example')
def step_by_hand(context: Context) -> None:
    context.samples = [node_sample(*row) for row in BY_HAND]


@given('the burn samples of the calculated example without start times')
def step_without_start(context: Context) -> None:
    context.samples = [
        dataclasses.replace(node_sample(*row), started=None) for row in BY_HAND
    ]


@given('node "{node}" does not answer at {at:d}')
def step_no_answer(context: Context, node: str, at: int) -> None:
    context.samples.append(MissingSample(node, NOON + at, 'refused'))


@when('the burn report is made with rule "{rule}"')
def step_make(context: Context, rule: str) -> None:
    saved = encode_samples(context.samples)
    samples = decode_samples('saved', saved).unwrap()
    rules = (Rule().convert(rule, None, None),)
    context.report = create_report(samples, [ROUTE], rules, PERIOD_SECONDS)


def find_burn(context: Context, product: str, indicator: str):
    return next(
        burn
        for burn in context.report.objectives
        if burn.objective.product == product
        and burn.objective.indicator.value == indicator
    )


@then(
    'the burn of "{product}" "{indicator}" is {overall:f} over all, '
    '{long:f} and {short:f} in the windows'
)
def step_burn(
    context: Context,
    product: str,
    indicator: str,
    overall: float,
    long: float,
    short: float,
) -> None:
    burn = find_burn(context, product, indicator)
    window = burn.windows[0]
    rates = (burn.rate, window.long_rate, window.short_rate)
    assert tuple(round(rate, 4) for rate in rates) == (overall, long, short)


@then('the report alerts on "{name}" only')
def step_alerts(context: Context, name: str) -> None:
    alerts = report_values(context.report)['alerts']
    assert [f'{a["product"]} {a["indicator"]}' for a in alerts] == [name]
    assert f'ALERT page: {name}' in report_text(context.report)


@then('the report has no alert')
def step_no_alert(context: Context) -> None:
    assert not context.report.alerts
    assert 'no alert' in report_text(context.report)


@then('node "{one}" has {n:d} restarts and node "{other}" has {m:d}')
def step_restarts(
    context: Context, one: str, n: int, other: str, m: int
) -> None:
    restarts = {node.node: node.restarts for node in context.report.nodes}
    assert restarts == {one: n, other: m}


@then(
    '{bad:d} of {total:d} requests of "{product}" are bad, {allowed:d} '
    'allowed, and {share:f}% of the budget of 30 days is used'
)
def step_budget(
    context: Context,
    bad: int,
    total: int,
    product: str,
    allowed: int,
    share: float,
) -> None:
    burn = find_burn(context, product, 'availability')
    assert (burn.count.bad, burn.count.total) == (bad, total), burn.count
    assert round(burn.allowed, 6) == allowed, burn.allowed
    assert round(burn.period_share * 100, 4) == share, burn.period_share


@then('the text of the report names "{node}" as unreachable, last seen at 3600')
def step_unreachable(context: Context, node: str) -> None:
    text = report_text(context.report)
    line = next(
        line for line in text.splitlines() if line.split()[:1] == [node]
    )
    assert 'UNREACHABLE, last seen 2023-11-14 23:13:20 UTC: refused' in line


@then(
    'the page shows {count:d} plots and the alert, and refers to nothing '
    'outside it'
)
def step_page(context: Context, count: int) -> None:
    page = render_page(context.report)
    assert page.count('<svg') == count
    assert 'class="alert">ALERT page: p availability' in page
    assert not re.search(r'(src|href)="(?!#)', page)
    assert '<script' not in page
    assert render_page(context.report) == page


@then('leaving out samples changes no total of the report')
def step_left_out(context: Context) -> None:
    steps = st.lists(
        st.tuples(
            st.integers(0, 5), st.integers(0, 5), st.booleans(), st.booleans()
        ),
        min_size=1,
        max_size=12,
    )

    @seed(21)
    @FUZZ
    @given_values(steps)
    def check(intervals: list[tuple[int, int, bool, bool]]) -> None:
        done = failed = started = 0
        expected = [0, 0]
        samples = []
        for at, (more_done, more_failed, restart, keep) in enumerate(intervals):
            if restart:
                done = failed = 0
                started = at * 10
            done += more_done
            failed += more_failed
            expected[0] += more_done + more_failed
            expected[1] += more_failed
            last_of_process = at + 1 == len(intervals) or intervals[at + 1][2]
            if keep or last_of_process:
                row = ('a', at * 10 + 5, started, done, failed, 0, 0, 0)
                samples.append(node_sample(*row))
        report = create_report(samples, [ROUTE], DEFAULT_RULES, PERIOD_SECONDS)
        count = report.objectives[0].count
        assert [count.total, count.bad] == expected

    check()


@then('the burn report handles any saved bytes and any metrics text')
def step_fuzz(context: Context) -> None:
    line = encode_samples([node_sample(*BY_HAND[1])])
    scrape = (
        'turmericyard_requests_total{product="p",outcome="done"} 3\n'
        'turmericyard_first_token_seconds_bucket{product="p",le="1.2"} 3\n'
    )

    def damaged(original):
        return st.tuples(
            st.integers(0, len(original)),
            st.integers(0, 9),
            st.binary(max_size=6)
            if isinstance(original, bytes)
            else st.text(max_size=6),
        ).map(
            lambda cut: (
                original[: cut[0]] + cut[2] + original[cut[0] + cut[1] :]
            )
        )

    @seed(22)
    @FUZZ
    @given_values(
        st.one_of(st.binary(max_size=99), damaged(line)), damaged(scrape)
    )
    def check(saved: bytes, text: str) -> None:
        samples = [parse_scrape('a', NOON, text)]
        decoded = decode_samples('file', saved)
        if isinstance(decoded, Failure):
            assert isinstance(decoded.failure(), InvalidSamples)
        else:
            samples.extend(decoded.unwrap())
        report = create_report(samples, [ROUTE], DEFAULT_RULES, PERIOD_SECONDS)
        assert report_text(report)

    check()


@given('3 nodes of the Vodnik deployment with {count:d} reports running')
def step_run(context: Context, count: int) -> None:
    context.run = start_run(context.launcher, 'vodnik', 3)
    context.reports = [
        context.run.start_report(f'burn-{n}', 240, context.run.caller())
        for n in range(count)
    ]
    for record in context.reports:
        context.run.wait_for_tokens(record, 3)


@when(
    'the node and the endpoints of zone "{zone}" are killed and the reports end'
)
def step_lose_zone(context: Context, zone: str) -> None:
    deployment = context.run.deployment
    context.killed = next(
        node for node in deployment.nodes.values() if node.zone == zone
    )
    context.killed.process.kill()
    for name in deployment.endpoint_names(zone):
        deployment.endpoints[name].kill()
    context.run.join()


@when('the operator asks for the burn report')
def step_ask(context: Context) -> None:
    deployment = context.run.deployment
    token = context.launcher.directory / 'burn.token'
    token.write_text(OPERATOR_TOKEN)
    nodes = [
        word
        for node in deployment.nodes.values()
        for word in ('--node', f'127.0.0.1:{node.ports.operator}')
    ]
    options = ('--output', 'json', '--token-file', str(token), *nodes)
    answer = deployment.require(
        *options, 'report', 'burn', '--samples', '1', '--period', '1d'
    )
    context.values = json.loads(answer.output)


@then('it alerts on the availability of "{product}" in window "{window}"')
def step_process_alert(context: Context, product: str, window: str) -> None:
    assert {
        'product': product,
        'indicator': 'availability',
        'severity': 'page',
        'window': window,
    } in context.values['alerts'], context.values


@then('it names the killed node as unreachable')
def step_killed_named(context: Context) -> None:
    unreachable = [
        node['node'] for node in context.values['nodes'] if node['unreachable']
    ]
    assert unreachable == [f'127.0.0.1:{context.killed.ports.operator}']
