"""Index of the prompt prefixes that endpoints probably hold in their cache.

Cache events arrive late and some are lost, so that an entry is only a hint: it
expires, and a gap in the sequence or a restart drops the hints of the endpoint.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

HINT_TTL_SECONDS = 120.0
MAX_PREFIXES = 4096

#: Least number of evictions, with nothing stored since, that may show that the
#: cache was emptied.
MIN_EMPTIED_EVICTIONS = 4


class CacheEventKind(Enum):
    """Kind of a cache event."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One cache event of an engine; `sequence` increases by one with each event."""

    sequence: int
    kind: CacheEventKind
    prefix: str


@dataclass(slots=True)
class EndpointPrefixes:
    """Prefixes of one endpoint with the time of the latest hint, oldest first.

    `held_before` is the number of prefixes held before the latest batch of
    events, `evictions` the number of evictions in this batch since a prefix was
    last stored.
    """

    sequence: int | None = None
    held: OrderedDict[str, float] = field(default_factory=OrderedDict)
    held_before: int = 0
    evictions: int = 0

    def store(self, prefix: str, now: float) -> None:
        """Record that the prefix is in the cache."""
        self.held[prefix] = now
        self.held.move_to_end(prefix)
        if len(self.held) > MAX_PREFIXES:
            self.held.popitem(last=False)

    def apply(self, event: CacheEvent, now: float) -> None:
        """Apply one event."""
        if event.kind is CacheEventKind.STORED:
            self.store(event.prefix, now)
            self.evictions = 0
        else:
            self.held.pop(event.prefix, None)
            self.evictions += 1

    def emptied(self) -> bool:
        """Return whether the latest events evicted all known prefixes.

        A cache that makes space for a new prefix stores it after the evictions.
        Evictions of half of the known prefixes suffice, since events may be
        missing.
        """
        min_evictions = max(MIN_EMPTIED_EVICTIONS, self.held_before // 2)
        return not self.held and self.evictions >= min_evictions


@dataclass(slots=True)
class PrefixIndex:
    """Hints about the caches of all endpoints."""

    endpoints: dict[str, EndpointPrefixes] = field(default_factory=dict)

    def observe(
        self,
        endpoint: str,
        events: Iterable[CacheEvent],
        now: float,
    ) -> bool:
        """Apply events in order; returns False when there was a gap.

        Evictions may have been missed in a gap, so that hints from before the
        gap are dropped.
        """
        prefixes = self.endpoints.setdefault(endpoint, EndpointPrefixes())
        prefixes.held_before = len(prefixes.held)
        prefixes.evictions = 0
        complete = True
        for event in events:
            if prefixes.sequence is not None:
                if event.sequence <= prefixes.sequence:
                    continue
                if event.sequence > prefixes.sequence + 1:
                    prefixes.held.clear()
                    complete = False
            prefixes.sequence = event.sequence
            prefixes.apply(event, now)
        return complete

    def emptied(self, endpoint: str) -> bool:
        """Return whether the latest events show that the cache was emptied."""
        prefixes = self.endpoints.get(endpoint)
        return prefixes is not None and prefixes.emptied()

    def observe_sent(self, endpoint: str, prefix: str, now: float) -> None:
        """Record that a prompt with the prefix was sent to the endpoint."""
        prefixes = self.endpoints.setdefault(endpoint, EndpointPrefixes())
        prefixes.store(prefix, now)

    def forget(self, endpoint: str) -> None:
        """Drop all hints about an endpoint that restarted or left."""
        self.endpoints.pop(endpoint, None)

    def holds(self, endpoint: str, prefix: str, now: float) -> bool:
        """Return whether the endpoint probably holds the prefix."""
        prefixes = self.endpoints.get(endpoint)
        if prefixes is None:
            return False
        hinted_at = prefixes.held.get(prefix)
        return hinted_at is not None and now - hinted_at <= HINT_TTL_SECONDS
