"""Compares the responses of two versions by sequential tests.

Each test is a cumulative sum (CUSUM) of log likelihood ratios, so that a
version that turns bad later is found as fast as one that is bad from the start.
A response is bad for a test when it is a failure or, in the tests of times,
slower than a bound from the old version's responses on the same route. Under
the null hypothesis the new version has as many of them as the old one.

Error rates: by Lorden's bound, a good version exceeds `THRESHOLD` once in a
million responses or more for each test; without failures, with as many as the
old version and 1.2 times slower, at most 1 of 200 runs of 1000 responses did.
Versions with 15% failures, or with 30% of the responses four times slower, were
found within 200 and 250 responses in 99 of 100 runs or more
(features/decisions/rollout.feature has all cases).
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import zip_longest

#: Upper limit of the fastest class of times, in seconds; each further class
#: ends at the square root of two times the limit of the one before.
FASTEST_SECONDS = 0.004
CLASSES_PER_DOUBLING = 2
TIME_CLASSES = 28
#: Mean number of responses between two false alarms, and the threshold of the
#: sums that follows from it.
MEAN_RESPONSES = 1_000_000
THRESHOLD = math.log(MEAN_RESPONSES)
#: Bad responses without which no version is bad: one crashed endpoint loses as
#: many as it has slots, typically 8.
MIN_BAD = 12
#: Quantiles of the old version's times that bound slow responses, and how many
#: classes slower a response must be: twice as slow.
QUANTILES = (0.5, 0.8, 0.95)
SLOWER_CLASSES = 2
#: Responses of the old version below which times are not compared.
MIN_OLD = 20
#: Lowest share of bad responses that a good version may have.
MIN_SHARE = 0.01
#: Highest share of slow responses of the old version with which times still
#: distinguish versions.
MAX_SHARE = 0.7
#: Share of failures of a bad version, as a multiple of a good version's share
#: and at least that much more.
FAILURE_RATIO = 4.0
FAILURE_EXCESS = 0.09
#: Part of the responses that are not slow by themselves that a bad version
#: makes slow.
SLOW_EXCESS = 0.3
HIGHEST_SHARE = 0.95
#: Weight of the assumption that the old version has hardly any failures, in
#: responses.
PRIOR_RESPONSES = 10
PRIOR_FAILURES = 0.1
#: Decay time of the recent responses of the old version, in seconds: both
#: versions slow down together under a burst.
RECENT_SECONDS = 3.0
MIN_RECENT = 10
#: Name of the sum over all routes.
ALL_ROUTES = ''

Counts = Sequence[float]


def time_class(seconds: float) -> int:
    """Return the class of a time, 0 for the fastest."""
    if seconds <= FASTEST_SECONDS:
        return 0
    doublings = math.log2(seconds / FASTEST_SECONDS)
    return min(TIME_CLASSES - 1, math.ceil(CLASSES_PER_DOUBLING * doublings))


def add(left: Counts, right: Counts, weight: float = 1) -> list[float]:
    """Return the sums of two lists of counts, of which one may be shorter."""
    return [
        count + weight * more
        for count, more in zip_longest(left, right, fillvalue=0)
    ]


def bad_in(counts: Counts, slow_from: int) -> float:
    """Return the failures and the successes from a class on."""
    return sum(counts[:1]) + sum(counts[1 + slow_from :])


def slow_class(counts: Counts, quantile: float) -> int:
    """Return the first class of times that is slow, by the old version."""
    successes = counts[1:]
    wanted = quantile * sum(successes)
    reached: float = 0
    for number, count in enumerate(successes):
        reached += count
        if reached >= wanted:
            return number + SLOWER_CLASSES + 1
    return TIME_CLASSES


@dataclass(frozen=True, slots=True)
class Evidence:
    """Responses of the new version and the result of the tests.

    `suspicion` is the highest sum as a part of the threshold, `route` that of
    the test with it.
    """

    good: int = 0
    bad: int = 0
    suspicion: float = 0
    route: str = ALL_ROUTES

    @property
    def is_bad(self) -> bool:
        """Return whether the new version is worse than the old one."""
        return self.suspicion >= 1 and self.bad >= MIN_BAD

    def describe(self) -> str:
        """Return the evidence as a text for logs."""
        route = self.route or 'all routes'
        return (
            f'{self.good} good and {self.bad} bad responses,'
            f' suspicion {self.suspicion:.2f} on {route}'
        )


@dataclass(slots=True)
class RouteComparison:
    """The tests of one route; `sums` has one for each bound of times."""

    compares_times: bool = True
    old: Counts = ()
    new: Counts = ()
    recent: Counts = ()
    observed_at: float = 0
    sums: dict[float, float] = field(default_factory=dict)

    def observe(self, old: Counts, new: Counts, now: float) -> None:
        """Apply the cumulative counts of both versions at a time."""
        more_old = add(old, self.old, -1)
        more_new = add(new, self.new, -1)
        decay = math.exp((self.observed_at - now) / RECENT_SECONDS)
        self.recent = add(more_old, self.recent, decay)
        self.old = old
        self.new = new
        self.observed_at = now
        if not any(more_new):
            return
        self.test(1, TIME_CLASSES, more_new)
        if self.compares_times and sum(self.old) >= MIN_OLD:
            for quantile in QUANTILES:
                slow_from = slow_class(self.old, quantile)
                self.test(quantile, slow_from, more_new, excess=SLOW_EXCESS)

    def test(
        self, name: float, slow_from: int, more: Counts, excess: float = 0
    ) -> None:
        """Add the responses since the last call to one sum."""
        good = self.expected_share(slow_from)
        if good > MAX_SHARE:
            return
        bad = good + excess * (1 - good)
        if not excess:
            bad = max(FAILURE_RATIO * good, good + FAILURE_EXCESS)
        bad = min(bad, HIGHEST_SHARE)
        hits = bad_in(more, slow_from)
        gain = hits * math.log(bad / good)
        loss = (sum(more) - hits) * math.log((1 - bad) / (1 - good))
        self.sums[name] = max(0, self.sums.get(name, 0) + gain + loss)

    def expected_share(self, slow_from: int) -> float:
        """Return an upper bound of the old version's share of bad responses."""
        total = sum(self.old) + PRIOR_RESPONSES
        share = (bad_in(self.old, slow_from) + PRIOR_FAILURES) / total
        share += math.sqrt(share * (1 - share) / total)
        recent = sum(self.recent)
        if recent >= MIN_RECENT:
            share = max(share, bad_in(self.recent, slow_from) / recent)
        return max(share, MIN_SHARE)

    def bad_count(self) -> float:
        """Return the bad responses of the new version, by its slowest times.

        Without enough responses of the old version only failures count.
        """
        slow_from = TIME_CLASSES
        if self.compares_times and sum(self.old) >= MIN_OLD:
            slow_from = slow_class(self.old, self.worst_quantile())
        return bad_in(self.new, slow_from)

    def worst_quantile(self) -> float:
        """Return the quantile whose test has the highest sum."""
        return max(QUANTILES, key=lambda each: self.sums.get(each, 0))

    def excess(self) -> float:
        """Return the bad responses beyond twice those of the old version."""
        bad = self.bad_count()
        slow_from = TIME_CLASSES
        if self.compares_times and sum(self.old) >= MIN_OLD:
            slow_from = slow_class(self.old, self.worst_quantile())
        return bad - 2 * self.expected_share(slow_from) * sum(self.new)


@dataclass(slots=True)
class VersionComparison:
    """The tests of all routes of a roll-out."""

    routes: dict[str, RouteComparison] = field(default_factory=dict)
    total: RouteComparison = field(
        default_factory=lambda: RouteComparison(compares_times=False)
    )

    def observe(
        self, totals: Mapping[str, tuple[Counts, Counts]], now: float
    ) -> None:
        """Apply the cumulative counts by route, old and new version."""
        old: Counts = ()
        new: Counts = ()
        for route, (route_old, route_new) in totals.items():
            comparison = self.routes.setdefault(route, RouteComparison())
            comparison.observe(route_old, route_new, now)
            old = add(old, route_old)
            new = add(new, route_new)
        self.total.observe(old, new, now)

    def evidence(self) -> Evidence:
        """Return the responses of the new version and the highest sum."""
        highest = max(self.total.sums.values(), default=0)
        worst = ALL_ROUTES
        bad: float = 0
        for route, comparison in self.routes.items():
            bad += comparison.bad_count()
            reached = max(comparison.sums.values(), default=0)
            if reached > highest:
                highest = reached
                worst = route
        total = sum(self.total.new)
        return Evidence(int(total - bad), int(bad), highest / THRESHOLD, worst)

    def excess(self) -> float:
        """Return the bad responses beyond twice those of the old version."""
        return sum(
            max(0, comparison.excess()) for comparison in self.routes.values()
        )
