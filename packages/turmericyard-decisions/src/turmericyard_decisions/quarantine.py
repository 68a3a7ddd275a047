"""Requests suspected of crashing the endpoints that run them.

When an endpoint dies, each request that it ran gets a strike, by its key and
by the fingerprint of its body. Strikes name the death, so that merging those
of peers twice or in any order gives the same. A suspect runs beside no other
suspect, which clears innocents and convicts the culprit after few deaths.

Endpoints of one zone that die at the same moment with nothing in common have a
common cause, such as the loss of the zone. The first such event is no evidence
against the requests; further ones are, since several culprits may run at once.
A request that died in several zones during the event is no victim of one zone's
loss, and of a longer series of deaths only the first few are excused.

A refusal is final: the strikes that it rests on are never excused afterwards,
here or at peers, whatever else dies.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

import xxhash

MAX_TRACKED_DEATHS = 1024

#: Deaths within this time of each other may have a common cause, in seconds.
SAME_EVENT_SECONDS = 2.0

#: Deaths of a request in one event that are no evidence: one and a retry's.
EXCUSED_DEATHS = 2


#: A mark of a request and the identity of a death that it was in.
Pair: TypeAlias = tuple[str, str]


class Verdict(Enum):
    """How a request may run."""

    CLEAR = 'it is not suspected'
    SUSPECT = 'it ran on an endpoint that died; it runs beside other requests'
    REFUSED = 'endpoints died each time it ran; it is refused for good'


@dataclass(frozen=True, slots=True)
class Death:
    """One death of an endpoint, and the marks of the requests it ran.

    `identity` is the endpoint's name and restart id. Each request of
    `in_flight` is the set of its marks: key and fingerprint.
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
    """Return the marks of one request: its workspace's key and its body."""
    return frozenset((f'key:{workspace}:{key}', fingerprint(body)))


@dataclass(slots=True)
class Quarantine:
    """Deaths known to this node, and what was cleared since.

    `cleared` holds (mark, death) pairs; a request that completes is cleared
    of the deaths it was struck for until then. `counted` has the pairs that
    refusals rest on. `zones` has the zone of each endpoint; endpoints without
    one count as of the same.
    """

    deaths: OrderedDict[str, Death] = field(default_factory=OrderedDict)
    seen_at: dict[str, float] = field(default_factory=dict)
    cleared: set[Pair] = field(default_factory=set)
    counted: set[Pair] = field(default_factory=set)
    zones: Mapping[str, str] = field(default_factory=dict)

    def observe_death(self, death: Death, now: float) -> bool:
        """Record a death, own or a peer's; False when nothing is new.

        Each node may know only part of the in_flight, so the parts are joined.
        """
        known = self.deaths.get(death.identity)
        if known and death.in_flight <= known.in_flight:
            return False
        self.seen_at.setdefault(death.identity, now)
        in_flight = death.in_flight | (
            known.in_flight if known else frozenset()
        )
        self.deaths[death.identity] = Death(death.identity, in_flight)
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
        """Clear a request that ran to its end; returns the pairs for peers."""
        fresh = self.pairs(marks, self.deaths.values()) - self.cleared
        self.cleared |= fresh
        return fresh

    def observe_refusal(self, marks: frozenset[str]) -> tuple[Death, ...]:
        """Count the strikes of a refused request for good.

        Returns the deaths for peers, none when all were counted already.
        """
        deaths = self.strikes(marks)
        fresh = self.pairs(marks, deaths) - self.counted
        self.counted |= fresh
        return deaths if fresh else ()

    def merge_refusal(
        self, marks: frozenset[str], deaths: Iterable[Death], now: float
    ) -> None:
        """Take over a refusal of a peer, with the deaths it rests on."""
        known = tuple(deaths)
        self.merge(known, (), now)
        self.counted |= self.pairs(marks, known)

    def pairs(
        self, marks: frozenset[str], deaths: Iterable[Death]
    ) -> frozenset[Pair]:
        """Return each death with the marks that a request has there."""
        return frozenset(
            (mark, death.identity)
            for death in deaths
            for mark in marks & death.marks()
        )

    def merge(
        self,
        deaths: Iterable[Death],
        cleared: Iterable[Pair],
        now: float,
    ) -> None:
        """Take over the strikes and clearances of a peer."""
        for death in deaths:
            self.observe_death(death, now)
        self.cleared.update(pair for pair in cleared if pair[1] in self.deaths)

    def strikes(self, marks: frozenset[str]) -> tuple[Death, ...]:
        """Return the deaths for which the request is still suspected."""
        struck = [
            death
            for death in self.deaths.values()
            if self.is_struck(marks, death)
        ]
        excused = self.excused(
            [death for death in struck if not self.is_counted(marks, death)]
        )
        return tuple(death for death in struck if death not in excused)

    def excused(self, struck: list[Death]) -> list[Death]:
        """Return the deaths in the first event with a common cause.

        None when the request died in several zones during that event.
        """
        common = [death for death in struck if self.has_common_cause(death)]
        if not common:
            return []
        first_at = min(self.seen_at[death.identity] for death in common)
        event = [
            death
            for death in struck
            if abs(self.seen_at[death.identity] - first_at)
            <= SAME_EVENT_SECONDS
        ]
        if len({self.zone(death) for death in event}) > 1:
            return []
        event.sort(key=lambda death: self.seen_at[death.identity])
        return [death for death in event if death in common][:EXCUSED_DEATHS]

    def zone(self, death: Death) -> str:
        """Return the zone of the endpoint that died."""
        return self.zones.get(death.endpoint, '')

    def has_common_cause(self, death: Death) -> bool:
        """Return whether an unrelated endpoint of its zone died with it."""
        at = self.seen_at[death.identity]
        marks = death.marks()
        return any(
            abs(self.seen_at[other.identity] - at) <= SAME_EVENT_SECONDS
            and other.endpoint != death.endpoint
            and self.zone(other) == self.zone(death)
            and not other.marks() & marks
            for other in self.deaths.values()
        )

    def is_struck(self, marks: frozenset[str], death: Death) -> bool:
        """Return whether a mark was in the death and not cleared since."""
        return any(
            (mark, death.identity) not in self.cleared
            for mark in marks & death.marks()
        )

    def is_counted(self, marks: frozenset[str], death: Death) -> bool:
        """Return whether a refusal of the request rests on the death."""
        return not self.counted.isdisjoint(self.pairs(marks, (death,)))

    def judge(self, marks: frozenset[str], strike_limit: int) -> Verdict:
        """Return how the request may run.

        A suspect at the limit that shares all its deaths with another still
        suspected request may be innocent and gets one more run.
        """
        strikes = self.strikes(marks)
        if not strikes:
            return Verdict.CLEAR
        if len(strikes) < strike_limit:
            return Verdict.SUSPECT
        if all(self.is_counted(marks, death) for death in strikes):
            return Verdict.REFUSED
        others = self.always_beside(marks, strikes)
        if others and len(strikes) == strike_limit:
            return Verdict.SUSPECT
        return Verdict.REFUSED

    def always_beside(
        self,
        marks: frozenset[str],
        strikes: tuple[Death, ...],
    ) -> frozenset[frozenset[str]]:
        """Return the other suspects that died with it every time."""
        shared = strikes[0].in_flight
        for death in strikes[1:]:
            shared &= death.in_flight
        return frozenset(
            other
            for other in shared
            if not other & marks and self.strikes(other)
        )

    def may_join(
        self,
        marks: frozenset[str],
        running: Iterable[frozenset[str]],
    ) -> bool:
        """Return whether the request may run beside those running.

        False when it and one of them are suspects: an innocent one that ran
        beside two culprits, one after the other, could not be told from them.
        """
        if not self.strikes(marks):
            return True
        return not any(self.strikes(other) for other in running)


def create_quarantine() -> Quarantine:
    """Return a quarantine without any strike."""
    return Quarantine()
