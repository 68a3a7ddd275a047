"""The burn report as one HTML page with embedded plots."""

from html import escape
from io import StringIO
from string import Template

import matplotlib as mpl
from matplotlib.figure import Figure

from turmericyard_operator.burn_report import BurnReport, ObjectiveBurn
from turmericyard_operator.burn_text import (
    MINUTE_SECONDS,
    alert_lines,
    clock_text,
    duration_text,
    node_text,
    objective_text,
    rate_text,
    window_text,
)

PAGE = Template("""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<title>Burn of error budgets</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
.alert { color: #a00; font-weight: bold; }
td, th { padding: 0.2em 1em 0.2em 0; text-align: left; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Burn of error budgets</h1>
<p>$begin to $end</p>
<ul>$alerts</ul>
$objectives
<h2>Nodes</h2>
<ul>$nodes</ul>
</body></html>
""")
SECTION = Template("""<h2>$title</h2>
<table><tr><th>events</th><th>bad</th><th>allowed</th><th>burn</th>
<th>of the $period budget</th></tr>
<tr><td>$total</td><td>$bad</td><td>$allowed</td><td>$rate</td>
<td>$share</td></tr></table>
<ul>$windows</ul>
$plot
""")
#: Width and height of a plot in inches.
PLOT_SIZE = (8.0, 2.2)


def render_page(report: BurnReport) -> str:
    """Return the page; it refers to no other file or address."""
    return PAGE.substitute(
        begin=clock_text(report.begin),
        end=clock_text(report.end),
        alerts=list_items(alert_lines(report), 'alert'),
        objectives='\n'.join(
            render_objective(burn, report.period_seconds)
            for burn in report.objectives
        ),
        nodes=list_items([node_text(node) for node in report.nodes], 'node'),
    )


def list_items(lines: list[str], name: str) -> str:
    """Return lines as HTML list items of a class."""
    return '\n'.join(
        f'<li class="{name}">{escape(line)}</li>' for line in lines
    )


def render_objective(burn: ObjectiveBurn, period_seconds: float) -> str:
    """Return the HTML section of one objective."""
    return SECTION.substitute(
        title=escape(objective_text(burn.objective)),
        period=duration_text(period_seconds),
        total=f'{burn.count.total:.0f}',
        bad=f'{burn.count.bad:.0f}',
        allowed=f'{burn.allowed:.1f}',
        rate=rate_text(burn.rate),
        share=f'{burn.period_share:.2%}',
        windows=list_items(
            [window_text(window) for window in burn.windows], 'window'
        ),
        plot=render_plot(burn),
    )


def render_plot(burn: ObjectiveBurn) -> str:
    """Return the burn rate over time as an SVG element."""
    figure = Figure(figsize=PLOT_SIZE, layout='constrained')
    axes = figure.subplots()
    rated_points = [point for point in burn.points if point.rate is not None]
    end = burn.points[-1].at
    axes.plot(
        [(point.at - end) / MINUTE_SECONDS for point in rated_points],
        [point.rate or 0 for point in rated_points],
        drawstyle='steps-pre',
    )
    axes.set_xlabel('minutes before the end')
    for window in burn.windows:
        axes.axhline(window.rule.factor, linestyle=':', color='grey')
    axes.set_ylabel('burn rate')
    axes.set_ylim(bottom=0)
    svg_output = StringIO()
    name = objective_text(burn.objective)
    with mpl.rc_context({'svg.hashsalt': name}):
        figure.savefig(svg_output, format='svg', metadata={'Date': None})
    text = svg_output.getvalue()
    return text[text.index('<svg') :]
