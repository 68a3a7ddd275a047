"""Requests suspected of crashing the endpoints that run them.

When an endpoint dies, each request that it ran gets a strike, by its key and by
the fingerprint of its body. A strike contains the identity of the death, so that
the strikes of peers can be merged repeatedly and in any order. A suspected
request does not run beside another one. After a few deaths this clears the
requests that are not the cause and identifies the one that is.

When endpoints of one zone die at the same time while they run different
requests, the deaths have a common cause, such as the loss of the zone. The first
such event is no evidence against the requests. Further ones are, since several
requests that crash endpoints may run at the same time. When a request died in
several zones during the event, the loss of one zone does not explain its deaths.
In a longer series of deaths only the first few are excused.

A refusal is final: the strikes that led to it are not excused afterwards, on
this node or on peers, whichever endpoints die later.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

import xxhash

MAX_TRACKED_DEATHS = 1024

#: Longest time, in seconds, between deaths that may have a common cause.
SAME_EVENT_SECONDS = 2.0

#: Excused deaths of a request in one event: the first run's and a retry's.
MAX_EXCUSED_DEATHS = 2


#: A mark of a request and the identity of a death at which the request ran.
Pair: TypeAlias = tuple[str, str]


class Verdict(Enum):
    """How a request may run."""

    CLEAR = 'it is not suspected'
    SUSPECT = 'it ran on an endpoint that died; it runs beside other requests'
    REFUSED = 'endpoints died each time it ran; it is refused for good'


@dataclass(frozen=True, slots=True)
class EndpointDeath:
    """One death of an endpoint, with the marks of the requests it ran.

    `identity` is the endpoint's name and restart id. Each request of
    `in_flight` is a set of marks: its key and its fingerprint.
    """

    identity: str
    in_flight: frozenset[frozenset[str]]

    @property
    def endpoint(self) -> str:
        """Return the endpoint's name."""
        return self.identity.rpartition(':')[0]

    def marks(self) -> frozenset[str]:
        """Return the marks of all requests that the endpoint ran."""
        return frozenset().union(*self.in_flight)


def fingerprint(body: bytes) -> str:
    """Return the mark of a request's body."""
    return f'body:{xxhash.xxh3_128_hexdigest(body)}'


def request_marks(workspace: str, key: str, body: bytes) -> frozenset[str]:
    """Return the marks of a request: its key in the workspace and its body."""
    return frozenset((f'key:{workspace}:{key}', fingerprint(body)))


@dataclass(slots=True)
class Quarantine:
    """Deaths known to this node, and the requests cleared of them.

    `cleared` contains (mark, death) pairs: a request that completes is cleared
    of all its strikes until then. `counted` contains the pairs that led to
    refusals. `zones` maps each endpoint to its zone; all endpoints without a
    zone count as one zone.
    """

    deaths: OrderedDict[str, EndpointDeath] = field(default_factory=OrderedDict)
    seen_at: dict[str, float] = field(default_factory=dict)
    cleared: set[Pair] = field(default_factory=set)
    counted: set[Pair] = field(default_factory=set)
    zones: Mapping[str, str] = field(default_factory=dict)

    def observe_death(self, death: EndpointDeath, now: float) -> bool:
        """Record a death observed here or by a peer; returns whether it is new.

        Each node may know only a part of `in_flight`, so the parts are merged.
        """
        known = self.deaths.get(death.identity)
        if known and death.in_flight <= known.in_flight:
            return False
        self.seen_at.setdefault(death.identity, now)
        in_flight = death.in_flight | (
            known.in_flight if known else frozenset()
        )
        self.deaths[death.identity] = EndpointDeath(death.identity, in_flight)
        if len(self.deaths) > MAX_TRACKED_DEATHS:
            oldest, _ = self.deaths.popitem(last=False)
            self.seen_at.pop(oldest)
            self.cleared = {pair for pair in self.cleared if pair[1] != oldest}
            self.counted = {pair for pair in self.counted if pair[1] != oldest}
        return True

    def observe_completion(
        self,
        marks: frozenset[str],
    ) -> frozenset[Pair]:
        """Clear a request that completed; returns the new pairs for peers."""
        new_pairs = self.pairs(marks, self.deaths.values()) - self.cleared
        self.cleared |= new_pairs
        return new_pairs

    def observe_refusal(
        self, marks: frozenset[str]
    ) -> tuple[EndpointDeath, ...]:
        """Count the strikes of a refused request permanently.

        Returns the deaths, to be sent to peers, or none when all were counted
        before.
        """
        deaths = self.strikes(marks)
        new_pairs = self.pairs(marks, deaths) - self.counted
        self.counted |= new_pairs
        return deaths if new_pairs else ()

    def merge_refusal(
        self, marks: frozenset[str], deaths: Iterable[EndpointDeath], now: float
    ) -> None:
        """Merge the refusal of a peer, with the deaths that led to it."""
        known = tuple(deaths)
        self.merge(known, (), now)
        self.counted |= self.pairs(marks, known)

    def pairs(
        self, marks: frozenset[str], deaths: Iterable[EndpointDeath]
    ) -> frozenset[Pair]:
        """Return a pair for each death and each mark of the request that ran."""
        return frozenset(
            (mark, death.identity)
            for death in deaths
            for mark in marks & death.marks()
        )

    def merge(
        self,
        deaths: Iterable[EndpointDeath],
        cleared: Iterable[Pair],
        now: float,
    ) -> None:
        """Merge the strikes and clearances of a peer."""
        for death in deaths:
            self.observe_death(death, now)
        self.cleared.update(pair for pair in cleared if pair[1] in self.deaths)

    def strikes(self, marks: frozenset[str]) -> tuple[EndpointDeath, ...]:
        """Return the deaths for which the request is still suspected."""
        suspected_deaths = [
            death
            for death in self.deaths.values()
            if self.is_suspected(marks, death)
        ]
        excused_deaths = self.excused_deaths(
            [
                death
                for death in suspected_deaths
                if not self.is_counted(marks, death)
            ]
        )
        return tuple(
            death for death in suspected_deaths if death not in excused_deaths
        )

    def excused_deaths(
        self, suspected_deaths: list[EndpointDeath]
    ) -> list[EndpointDeath]:
        """Return the excused deaths: those of the first common-cause event.

        Returns none when the request died in several zones during that event.
        """
        common_cause = [
            death for death in suspected_deaths if self.has_common_cause(death)
        ]
        if not common_cause:
            return []
        first_at = min(self.seen_at[death.identity] for death in common_cause)
        event = [
            death
            for death in suspected_deaths
            if abs(self.seen_at[death.identity] - first_at)
            <= SAME_EVENT_SECONDS
        ]
        if len({self.zone(death) for death in event}) > 1:
            return []
        event.sort(key=lambda death: self.seen_at[death.identity])
        return [death for death in event if death in common_cause][
            :MAX_EXCUSED_DEATHS
        ]

    def zone(self, death: EndpointDeath) -> str:
        """Return the zone of the endpoint that died."""
        return self.zones.get(death.endpoint, '')

    def has_common_cause(self, death: EndpointDeath) -> bool:
        """Return whether a second endpoint of its zone died at the same time.

        Only endpoints that ran none of the same requests count.
        """
        at = self.seen_at[death.identity]
        marks = death.marks()
        return any(
            abs(self.seen_at[other.identity] - at) <= SAME_EVENT_SECONDS
            and other.endpoint != death.endpoint
            and self.zone(other) == self.zone(death)
            and not other.marks() & marks
            for other in self.deaths.values()
        )

    def is_suspected(self, marks: frozenset[str], death: EndpointDeath) -> bool:
        """Return whether the request ran at the death and is not cleared of it."""
        return any(
            (mark, death.identity) not in self.cleared
            for mark in marks & death.marks()
        )

    def is_counted(self, marks: frozenset[str], death: EndpointDeath) -> bool:
        """Return whether the death led to a refusal of the request."""
        return not self.counted.isdisjoint(self.pairs(marks, (death,)))

    def classify(self, marks: frozenset[str], strike_limit: int) -> Verdict:
        """Return how the request may run.

        A request is refused from `strike_limit` strikes on. At this limit it is
        only suspected, and runs once more, when another suspected request ran
        at all the same deaths and may be the cause.
        """
        strikes = self.strikes(marks)
        if not strikes:
            return Verdict.CLEAR
        if len(strikes) < strike_limit:
            return Verdict.SUSPECT
        if all(self.is_counted(marks, death) for death in strikes):
            return Verdict.REFUSED
        others = self.other_suspects(marks, strikes)
        if others and len(strikes) == strike_limit:
            return Verdict.SUSPECT
        return Verdict.REFUSED

    def other_suspects(
        self,
        marks: frozenset[str],
        strikes: tuple[EndpointDeath, ...],
    ) -> frozenset[frozenset[str]]:
        """Return the other suspected requests that ran at all these deaths."""
        shared = strikes[0].in_flight
        for death in strikes[1:]:
            shared &= death.in_flight
        return frozenset(
            other
            for other in shared
            if not other & marks and self.strikes(other)
        )

    def may_run_beside(
        self,
        marks: frozenset[str],
        running: Iterable[frozenset[str]],
    ) -> bool:
        """Return whether the request may run beside those that are running.

        A suspected request may not run beside another one. Otherwise a request
        that is not the cause, but ran beside two causes one after the other,
        could not be distinguished from them.
        """
        if not self.strikes(marks):
            return True
        return not any(self.strikes(other) for other in running)


def create_quarantine() -> Quarantine:
    """Return a quarantine without strikes."""
    return Quarantine()
