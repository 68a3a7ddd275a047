"""Learns the response times of endpoints and of their services.

Times are kept by kind of request, since a long prompt takes longer than a short
one. Old observations are dropped by rotation of two sketches.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from ddsketch import DDSketch

RELATIVE_ACCURACY = 0.02
#: Observations and age, in seconds, from which a sketch is replaced.
ROTATION_OBSERVATIONS = 256
ROTATION_SECONDS = 30.0
#: Observations between two computations of the quantiles.
REFRESH_OBSERVATIONS = 8
#: Observations below which quantiles say too little: one in twenty is beyond
#: the late quantile.
MIN_OBSERVATIONS = 24
#: Sketches of one node, a few kilobytes each; the one that was used least
#: recently is dropped.
MAX_SKETCHES = 512
#: Quantiles of the median and of a late response.
MEDIAN_QUANTILE = 0.5
LATE_QUANTILE = 0.95
#: Size of the smallest class of prompts, in tokens; each further class is twice
#: as large.
SMALLEST_PROMPT_TOKENS = 1024


class RequestKind(NamedTuple):
    """Requests of a service with similar response times."""

    service: str
    prompt_class: int = 0


class Quantiles(NamedTuple):
    """Response times in seconds."""

    median: float
    late: float


def kind_of(service: str, prompt_tokens: float) -> RequestKind:
    """Return the kind of a request; plain calls have no prompt tokens."""
    prompt_class = int(prompt_tokens // SMALLEST_PROMPT_TOKENS).bit_length()
    return RequestKind(service, prompt_class)


@dataclass(slots=True)
class TimeSketch:
    """Recent response times; `since` is the start of the recent sketch.

    `cancelled` counts the late requests that were cancelled since the last
    response.
    """

    since: float
    recent: DDSketch = field(
        default_factory=partial(DDSketch, RELATIVE_ACCURACY)
    )
    older: DDSketch = field(
        default_factory=partial(DDSketch, RELATIVE_ACCURACY)
    )
    unmerged: int = 0
    known: Quantiles | None = None
    cancelled: int = 0

    def observe(self, seconds: float, now: float) -> None:
        """Record a response time."""
        if self.is_full(now):
            self.older = self.recent
            self.recent = DDSketch(RELATIVE_ACCURACY)
            self.since = now
        self.recent.add(seconds)
        self.unmerged += 1
        self.cancelled = 0

    def is_full(self, now: float) -> bool:
        """Return whether new observations go to a new sketch.

        A sketch with few observations is kept, however old it is.
        """
        if self.recent.count >= ROTATION_OBSERVATIONS:
            return True
        is_old = now - self.since >= ROTATION_SECONDS
        return is_old and self.recent.count >= MIN_OBSERVATIONS

    def quantiles(self) -> Quantiles | None:
        """Return the quantiles, None with too few observations."""
        if self.recent.count + self.older.count < MIN_OBSERVATIONS:
            return None
        if self.known is None or self.unmerged >= REFRESH_OBSERVATIONS:
            merged = DDSketch(RELATIVE_ACCURACY)
            merged.merge(self.older)
            merged.merge(self.recent)
            self.known = Quantiles(
                merged.get_quantile_value(MEDIAN_QUANTILE) or 0,
                merged.get_quantile_value(LATE_QUANTILE) or 0,
            )
            self.unmerged = 0
        return self.known


@dataclass(slots=True)
class ResponseTimes:
    """Sketches by kind of request and endpoint; '' is the whole service."""

    sketches: OrderedDict[tuple[RequestKind, str], TimeSketch] = field(
        default_factory=OrderedDict
    )

    def observe(
        self, kind: RequestKind, endpoint: str, seconds: float, now: float
    ) -> None:
        """Record a response time of an endpoint."""
        for identity in (endpoint, ''):
            self.sketch(kind, identity, now).observe(seconds, now)

    def sketch(
        self, kind: RequestKind, identity: str, now: float
    ) -> TimeSketch:
        """Return the sketch of an endpoint; create it when there is none."""
        key = (kind, identity)
        found = self.sketches.setdefault(key, TimeSketch(now))
        self.sketches.move_to_end(key)
        if len(self.sketches) > MAX_SKETCHES:
            self.sketches.popitem(last=False)
        return found

    def of_service(self, kind: RequestKind) -> Quantiles | None:
        """Return the times of all endpoints, None when they are not known."""
        return self.of_endpoint(kind, '')

    def of_endpoint(self, kind: RequestKind, identity: str) -> Quantiles | None:
        """Return the times of one endpoint, None when they are not known."""
        found = self.sketches.get((kind, identity))
        return found.quantiles() if found else None
