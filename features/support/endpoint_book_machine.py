"""Records of endpoints that come, leave, lapse in outages and start anew."""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from turmericyard_node.forwarding.endpoint_registry import (
    RENEWAL_SECONDS,
    EndpointRegistry,
)
from turmericyard_ports.endpoint import EndpointRecord, EndpointState

IDENTITIES = st.sampled_from(('i-1', 'i-2', 'i-3'))
#: Longest time between two beats, at which lapsed records are looked at.
BEAT_SECONDS = 0.5


@dataclass
class Truth:
    """What the store said last of an endpoint; `lapsed` in an outage.

    `renewed_at` is when the store last accepted its record.
    """

    born: int
    leaving: bool = False
    lapsed: bool = False
    renewed_at: float = float('-inf')


class EndpointBookMachine(RuleBasedStateMachine):
    """Who leaves gets nothing; who lapsed in an outage stays a while."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.births = 0
        self.trouble = False
        self.sound_since = 0.0
        self.truth: dict[str, Truth] = {}
        self.left: list[str] = []
        self.registry = EndpointRegistry(is_store_failing=lambda: self.trouble)
        self.registry.listeners.append(
            lambda one: self.left.append(one.identity)
        )

    def tell(self, identity: str, truth: Truth) -> None:
        self.truth[identity] = truth
        state = EndpointState.LEAVING if truth.leaving else EndpointState.READY
        record = EndpointRecord(
            identity,
            'engines',
            '10.0.0.1:80',
            'a',
            8,
            state,
            born=truth.born,
        )
        self.registry.observe(record, self.now)

    @rule(identity=IDENTITIES)
    def starts(self, identity: str) -> None:
        known = self.registry.endpoints.get(identity)
        self.births += 1
        self.tell(identity, Truth(self.births))
        assert self.registry.endpoints[identity] is not known

    @rule(identity=IDENTITIES)
    def renews(self, identity: str) -> None:
        truth = self.truth.get(identity)
        if truth is not None:
            self.tell(identity, Truth(truth.born, truth.leaving))
            if not self.trouble:
                self.truth[identity].renewed_at = self.now
                self.registry.record_renewal(identity, self.now)

    @rule(identity=IDENTITIES)
    def announces_to_leave(self, identity: str) -> None:
        truth = self.truth.get(identity)
        if truth is not None:
            self.tell(identity, Truth(truth.born, leaving=True))
            assert identity in self.left

    @rule(identity=IDENTITIES)
    def record_goes(self, identity: str) -> None:
        truth = self.truth.get(identity)
        self.registry.remove(identity, self.now)
        if truth is None:
            return
        silent = self.now - truth.renewed_at
        had_outage = self.registry.answers.had_outage(self.now)
        may_lapse = silent >= self.registry.lapse_seconds
        if (self.trouble or had_outage) and may_lapse:
            truth.lapsed = True
        else:
            self.truth.pop(identity)

    @rule(fails=st.booleans())
    def store_changes(self, fails: bool) -> None:
        if self.trouble and not fails:
            self.sound_since = self.now
        self.trouble = fails
        if fails:
            self.registry.failed_at = self.now
        else:
            self.registry.answers.record(self.now)

    @rule(identity=IDENTITIES)
    def removed_while_calls_fail(self, identity: str) -> None:
        self.renews(identity)
        was_failing = self.trouble
        self.store_changes(fails=True)
        self.record_goes(identity)
        if not was_failing:
            self.store_changes(fails=False)
            assert identity not in self.registry.endpoints

    @rule(identity=IDENTITIES)
    def lapses_and_returns(self, identity: str) -> None:
        self.store_changes(fails=True)
        self.record_goes(identity)
        self.renews(identity)
        self.store_changes(fails=False)

    @rule(beats=st.integers(1, 8))
    def time_passes(self, beats: int) -> None:
        for _ in range(beats):
            self.now += BEAT_SECONDS
            if self.trouble:
                self.registry.failed_at = self.now
            else:
                self.registry.answers.record(self.now)
            if self.registry.answers.had_outage(self.now):
                self.sound_since = self.now
            self.registry.expire(self.now)
        sound = 0 if self.trouble else self.now - self.sound_since
        if sound >= RENEWAL_SECONDS:
            self.truth = {
                identity: truth
                for identity, truth in self.truth.items()
                if not truth.lapsed
            }

    @invariant()
    def only_the_right_ones_get_requests(self) -> None:
        usable = {
            one.identity for one in self.registry.usable_of_service('engines')
        }
        certain = {
            identity
            for identity, truth in self.truth.items()
            if not truth.leaving and not truth.lapsed
        }
        possible = {
            identity
            for identity, truth in self.truth.items()
            if not truth.leaving
        }
        assert certain <= usable <= possible, (certain, usable, possible)

    @invariant()
    def lapsed_ones_stay_in_trouble(self) -> None:
        if not self.trouble:
            return
        usable = {
            one.identity for one in self.registry.usable_of_service('engines')
        }
        lapsed = {
            identity
            for identity, truth in self.truth.items()
            if truth.lapsed and not truth.leaving
        }
        assert lapsed <= usable, (lapsed, usable)
