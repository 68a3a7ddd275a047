"""Burn rates of error budgets over time windows, from counter increases.

A burn rate of 1 uses up the budget exactly by the end of its period; a rate
of 10 does so in a tenth of the period.
"""

from collections.abc import Iterable
from dataclasses import dataclass

HOUR_SECONDS = 3600
DAY_SECONDS = 86_400
#: How many times longer the long window is than the short one.
SHORT_WINDOW_DIVISOR = 12


@dataclass(frozen=True, slots=True)
class EventCount:
    """Events that an objective counts, and the bad ones among them."""

    total: float = 0
    bad: float = 0

    def __add__(self, other: 'EventCount') -> 'EventCount':
        """Return the sum of the two counts."""
        return EventCount(self.total + other.total, self.bad + other.bad)

    def scale(self, share: float) -> 'EventCount':
        """Return the counts multiplied by a share."""
        return EventCount(self.total * share, self.bad * share)


@dataclass(frozen=True, slots=True)
class Increase:
    """Events between two wall-clock times in seconds."""

    begin: float
    end: float
    count: EventCount

    def share_within(self, begin: float, end: float) -> float:
        """Return the share of the increase that lies between two times."""
        length = self.end - self.begin
        if length <= 0:
            return float(begin < self.end <= end)
        overlap = min(end, self.end) - max(begin, self.begin)
        return max(0, overlap) / length


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires when the burn rate is over `factor` in both windows.

    The long window prevents alerts on short disturbances; the short one
    ends the alert soon after its cause has ended.
    """

    severity: str
    long_seconds: float
    short_seconds: float
    factor: float


#: Share of the budget that may be used in a rule's long window before the
#: rule fires.
HOUR_SHARE = 0.02
SIX_HOURS_SHARE = 0.05
THREE_DAYS_SHARE = 0.1
#: The period of the error budgets, in seconds.
PERIOD_SECONDS = 30 * DAY_SECONDS  # noqa: WPS432 - days of a month


def create_rule(
    severity: str, long_seconds: float, budget_share: float
) -> AlertRule:
    """Return the rule that fires above a share of the budget per window."""
    factor = budget_share * PERIOD_SECONDS / long_seconds
    short_seconds = long_seconds / SHORT_WINDOW_DIVISOR
    return AlertRule(severity, long_seconds, short_seconds, factor)


#: Alerts on 2% of the budget in an hour, 5% in six hours, 10% in three days.
DEFAULT_RULES = (
    create_rule('page', HOUR_SECONDS, HOUR_SHARE),
    create_rule('page', 6 * HOUR_SECONDS, SIX_HOURS_SHARE),
    create_rule('ticket', 3 * DAY_SECONDS, THREE_DAYS_SHARE),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn rates of a rule's windows; None for one without events.

    `covered_seconds` is the part of the long window that the samples cover.
    """

    rule: AlertRule
    long_rate: float | None
    short_rate: float | None
    covered_seconds: float

    @property
    def firing(self) -> bool:
        """Return whether both rates are over the rule's factor."""
        return all(
            rate is not None and rate > self.rule.factor
            for rate in (self.long_rate, self.short_rate)
        )


def count_within(
    increases: Iterable[Increase], begin: float, end: float
) -> EventCount:
    """Return the events between two times.

    An increase that lies partly outside counts in proportion to its overlap.
    """
    return sum(
        (each.count.scale(each.share_within(begin, end)) for each in increases),
        EventCount(),
    )


def burn_rate(count: EventCount, target: float) -> float | None:
    """Return the burn rate of a count; None without events.

    `target` is the share of events that has to be good, below 1.
    """
    if count.total <= 0:
        return None
    return count.bad / count.total / (1 - target)


def evaluate_rule(
    rule: AlertRule,
    increases: tuple[Increase, ...],
    target: float,
    end: float,
) -> WindowBurn:
    """Return the burn rates of a rule's windows that end at `end`."""
    long_begin = end - rule.long_seconds
    short_begin = end - rule.short_seconds
    first = min((each.begin for each in increases), default=end)
    return WindowBurn(
        rule,
        burn_rate(count_within(increases, long_begin, end), target),
        burn_rate(count_within(increases, short_begin, end), target),
        min(rule.long_seconds, end - first),
    )
