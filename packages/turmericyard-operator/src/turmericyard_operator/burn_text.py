"""The burn report as text and as JSON values."""

import time
from dataclasses import asdict
from typing import Any

from turmericyard_operator.burn_rate import (
    DAY_SECONDS,
    HOUR_SECONDS,
    WindowBurn,
)
from turmericyard_operator.burn_report import (
    BurnReport,
    NodeCoverage,
    ObjectiveBurn,
)
from turmericyard_operator.burn_series import Objective

MINUTE_SECONDS = 60
UNITS = (
    (DAY_SECONDS, 'd'),
    (HOUR_SECONDS, 'h'),
    (MINUTE_SECONDS, 'm'),
    (1, 's'),
)
HEADER = f'{"objective":42}{"events":>12}{"bad":>10}{"allowed":>10}{"burn":>8}'


def duration_text(seconds: float) -> str:
    """Return a duration in the largest unit that divides it."""
    for length, unit in UNITS:
        if seconds >= length and seconds % length == 0:
            return f'{seconds / length:.0f}{unit}'
    return f'{seconds:.1f}s'


def rate_text(rate: float | None) -> str:
    """Return a burn rate with two decimals, `-` without events."""
    return '-' if rate is None else f'{rate:.2f}'


def objective_text(objective: Objective) -> str:
    """Return the product, the indicator and the target of an objective."""
    bound = ''
    if objective.seconds is not None:
        bound = f' within {objective.seconds:g} s'
    name = f'{objective.product} {objective.indicator.value}'
    return f'{name} {objective.target:.4%}{bound}'


def window_text(window: WindowBurn) -> str:
    """Return the burn rates of a rule's two windows and its factor."""
    rule = window.rule
    partial = ''
    if window.covered_seconds < rule.long_seconds:
        covered = duration_text(round(window.covered_seconds))
        partial = f' (samples span {covered})'
    return (
        f'{duration_text(rule.long_seconds)} burn '
        f'{rate_text(window.long_rate)}, '
        f'{duration_text(rule.short_seconds)} burn '
        f'{rate_text(window.short_rate)}, '
        f'alerts over {rule.factor:g}{partial}'
    )


def report_text(report: BurnReport) -> str:
    """Return the report as text."""
    covered = duration_text(round(report.end - report.begin))
    lines = [
        f'burn of error budgets, {clock_text(report.begin)} to '
        f'{clock_text(report.end)} ({covered})',
        '',
        *alert_lines(report),
        '',
        HEADER,
    ]
    for burn in report.objectives:
        lines.extend(burn_lines(burn, report.period_seconds))
    lines.extend(('', 'nodes'))
    lines.extend(node_text(node) for node in report.nodes)
    return '\n'.join(lines)


def clock_text(seconds: float) -> str:
    """Return a wall-clock time in UTC."""
    return time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(seconds))


def alert_lines(report: BurnReport) -> list[str]:
    """Return one line for each alert, or a line that there is none."""
    lines = [
        f'ALERT {window.rule.severity}: {objective_text(objective)}: '
        f'{window_text(window)}'
        for objective, window in report.alerts
    ]
    return lines or ['no alert']


def burn_lines(burn: ObjectiveBurn, period_seconds: float) -> list[str]:
    """Return the lines of one objective."""
    count = burn.count
    lines = [
        f'{objective_text(burn.objective):42}{count.total:12.0f}'
        f'{count.bad:10.0f}{burn.allowed:10.1f}{rate_text(burn.rate):>8}',
        f'    {burn.period_share:.2%} of the budget of '
        f'{duration_text(period_seconds)} used',
    ]
    lines.extend(f'    {window_text(window)}' for window in burn.windows)
    return lines


def node_text(node: NodeCoverage) -> str:
    """Return one node as a line."""
    text = f'  {node.node:24}{node.samples} samples'
    if node.restarts:
        text = (
            f'{text}, {node.restarts} restarts (events between the last '
            'sample and each restart are not counted)'
        )
    if node.unreachable:
        seen = 'never seen'
        if node.last_seen is not None:
            seen = f'last seen {clock_text(node.last_seen)}'
        text = f'{text}, UNREACHABLE, {seen}: {node.unreachable}'
    return text


def report_values(report: BurnReport) -> dict[str, Any]:
    """Return the report as JSON values; times in seconds since the epoch."""
    return {
        'begin': report.begin,
        'end': report.end,
        'period_seconds': report.period_seconds,
        'alerts': [
            {
                'product': objective.product,
                'indicator': objective.indicator.value,
                'severity': window.rule.severity,
                'window': duration_text(window.rule.long_seconds),
            }
            for objective, window in report.alerts
        ],
        'objectives': [burn_values(burn) for burn in report.objectives],
        'nodes': [asdict(node) for node in report.nodes],
    }


def burn_values(burn: ObjectiveBurn) -> dict[str, Any]:
    """Return one objective as JSON values."""
    return {
        'product': burn.objective.product,
        'indicator': burn.objective.indicator.value,
        'target': burn.objective.target,
        'seconds': burn.objective.seconds,
        'total': burn.count.total,
        'bad': burn.count.bad,
        'allowed': burn.allowed,
        'burn_rate': burn.rate,
        'period_share': burn.period_share,
        'windows': [
            {**asdict(window), 'firing': window.firing}
            for window in burn.windows
        ],
    }
