"""State machine of attempts that claim keys through one stored value.

Writes may be late, their answers lost, attempts pause anywhere, periods end.
What ran at the service is the judge.
"""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmericyard_decisions.claim import (
    Abandon,
    Acquire,
    Acquired,
    Change,
    Held,
    Mismatched,
    Partition,
    Record,
    RetentionTimer,
    Verdict,
    apply_change,
)

RETENTION = 60.0
YOUNG = 4.0
KEYS = ('k0', 'k1')
indexes = st.sampled_from(range(8))
fates = st.sampled_from(['done', 'done', 'lost', 'late', 'answer lost'])


@dataclass
class Attempt:
    """One attempt of a caller's request at one node."""

    number: int
    key: str
    asked_at: float
    seen: tuple[int, Partition]
    granted: bool = False
    sent: bool = False
    told: str = ''
    retention: RetentionTimer = field(
        default_factory=lambda: RetentionTimer(RETENTION)
    )

    @property
    def claimant(self) -> str:
        return f'a{self.number}'


class ClaimMachine(RuleBasedStateMachine):
    """The stored value, writes under way, attempts and the service."""

    compares = True
    checks_age = True
    retains = True
    stops_late_claims = True

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.revision = 1
        self.value = Partition()
        self.attempts: list[Attempt] = []
        self.late: list[tuple[int, Partition]] = []
        self.runs: dict[str, list[float]] = {key: [] for key in KEYS}
        self.run_by: set[str] = set()
        self.follower = RetentionTimer(RETENTION)

    def pick(self, index: int) -> Attempt | None:
        return (
            self.attempts[-1 - index % len(self.attempts)]
            if self.attempts
            else None
        )

    def swap(self, expected: int, value: Partition) -> bool:
        if self.compares and expected != self.revision:
            return False
        self.revision += 1
        self.value = value
        return True

    def write(
        self, attempt: Attempt, change: Change, fate: str
    ) -> Verdict | None:
        """Apply a change to what the attempt has read; None: no answer."""
        revision, partition = attempt.seen
        value, verdict = apply_change(change, partition)
        if value is partition:
            return verdict
        if fate == 'lost':
            return None
        if fate == 'late':
            self.late.append((revision, value))
            return None
        if not self.swap(revision, value) or fate == 'answer lost':
            return None
        attempt.seen = (self.revision, self.value)
        return verdict

    @rule(seconds=st.sampled_from([0.5, 3, 5, 70]))
    def advance(self, seconds: float) -> None:
        self.time += seconds

    @rule(key=st.sampled_from(KEYS))
    def begin(self, key: str) -> None:
        self.attempts.append(
            Attempt(
                len(self.attempts),
                key,
                self.time,
                (self.revision, self.value),
            )
        )

    @rule(index=indexes)
    def read(self, index: int) -> None:
        attempt = self.pick(index)
        if attempt:
            attempt.seen = (self.revision, self.value)

    @rule(index=indexes, fate=fates)
    def claim(self, index: int, fate: str) -> None:
        attempt = self.pick(index)
        if attempt and not attempt.told and not attempt.sent:
            self.claim_once(attempt, fate)

    def claim_once(self, attempt: Attempt, fate: str) -> None:
        change = Acquire(attempt.key, attempt.claimant, 'body')
        verdict = self.write(attempt, change, fate)
        if isinstance(verdict, Acquired):
            attempt.granted = True
        elif isinstance(verdict, Held | Mismatched):
            attempt.told = 'may have run'

    @rule(index=indexes)
    def send(self, index: int) -> None:
        attempt = self.pick(index)
        if attempt is None or attempt.sent or attempt.told:
            return
        young = self.time - attempt.asked_at < YOUNG
        if attempt.granted and (young or not self.checks_age):
            attempt.sent = True
            self.runs[attempt.key].append(self.time)
            self.run_by.add(attempt.claimant)

    @rule(key=st.sampled_from(KEYS), fate=fates)
    def run_whole(self, key: str, fate: str) -> None:
        """Claim, read back when there was no answer, and send."""
        self.begin(key)
        self.claim(0, fate)
        if not self.attempts[-1].granted:
            self.read(0)
            self.claim(0, 'done')
        self.send(0)

    @rule(index=indexes, fate=fates)
    def record(self, index: int, fate: str) -> None:
        attempt = self.pick(index)
        if attempt and attempt.sent:
            change = Record(attempt.key, attempt.claimant, 'body', 'result')
            self.write(attempt, change, fate)

    @rule(index=indexes, fate=fates)
    def give_up(self, index: int, fate: str) -> None:
        """Tell the caller that nothing ran, and free the key."""
        attempt = self.pick(index)
        if attempt is None or attempt.sent or attempt.told == 'may have run':
            return
        attempt.told = 'not run'
        change = Abandon(attempt.key, attempt.claimant, 'body')
        if self.stops_late_claims or attempt.granted:
            self.write(attempt, change, fate)

    @rule(index=indexes)
    def end_period(self, index: int) -> None:
        attempt = self.pick(index)
        if attempt is None:
            return
        revision, partition = attempt.seen
        due = attempt.retention.due(partition.period, self.time)
        if due or not self.retains:
            self.swap(revision, partition.rotate())

    @rule()
    def end_two_periods(self) -> None:
        """Let a node that follows the value end two periods in time."""
        for _ in range(2):
            self.follower.due(self.value.period, self.time)
            self.advance(RETENTION)
            if self.follower.due(self.value.period, self.time):
                self.swap(self.revision, self.value.rotate())

    @rule(index=indexes)
    def deliver_late(self, index: int) -> None:
        if self.late:
            self.swap(*self.late.pop(index % len(self.late)))

    @invariant()
    def each_call_ran_once(self) -> None:
        """Two runs of a key lie further apart than what callers are told."""
        for times in self.runs.values():
            gaps = zip(times, times[1:], strict=False)
            assert all(b - a >= RETENTION - YOUNG for a, b in gaps), times

    @invariant()
    def not_run_is_true(self) -> None:
        for attempt in self.attempts:
            if attempt.told == 'not run':
                assert attempt.claimant not in self.run_by
