"""Option types of `turmericyard report burn`."""

import math

import click

from turmericyard_operator.burn_rate import (
    DAY_SECONDS,
    HOUR_SECONDS,
    AlertRule,
)

UNIT_SECONDS = {'s': 1, 'm': 60, 'h': HOUR_SECONDS, 'd': DAY_SECONDS}


class Duration(click.ParamType[float]):
    """A length of time such as `90s`, `5m`, `6h` or `30d`, in seconds."""

    name = 'duration'

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> float:
        """Return the seconds; fails unless it is a positive duration."""
        text = str(value)
        unit = UNIT_SECONDS.get(text[-1:], 0)
        number = text[:-1]
        if not (number.isascii() and number.isdigit()) or not unit:
            self.fail(f'{text!r} is not a duration such as 90s, 5m, 6h or 30d')
        if not int(number):
            self.fail(
                f'{text!r} is not longer than 0: pass a duration such as '
                '90s or 5m'
            )
        return int(number) * unit


class Rule(click.ParamType[AlertRule]):
    """An alert rule `SEVERITY:LONG:SHORT:FACTOR`, as `page:1h:5m:14.4`."""

    name = 'rule'

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> AlertRule:
        """Return the rule; fails unless it has four valid parts."""
        parts = str(value).split(':')
        if len(parts) != 4:
            self.fail(
                f'{value!r} is not SEVERITY:LONG:SHORT:FACTOR, as in '
                'page:1h:5m:14.4'
            )
        severity, long, short, factor = parts
        duration = Duration()
        return AlertRule(
            severity,
            duration.convert(long, param, ctx),
            duration.convert(short, param, ctx),
            self.read_factor(factor),
        )

    def read_factor(self, text: str) -> float:
        """Return the burn rate of a rule; fails unless it is positive."""
        try:
            factor = float(text)
        except ValueError:
            factor = 0
        if not 0 < factor < math.inf:
            self.fail(f'{text!r} is not a burn rate over 0, such as 14.4')
        return factor
