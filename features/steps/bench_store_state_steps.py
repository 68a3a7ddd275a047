"""Steps for the state of the store stand-in, without its process."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.pipeline import is_successful

from turmericyard_bench.standins.call_rate import CallKind, CallRate
from turmericyard_bench.standins.store_state import StoreState
from turmericyard_clients.store import StoreConflict, WatchCompacted

KEYS = st.sampled_from(['a/1', 'a/2', 'b/1'])


class StoreCalls(RuleBasedStateMachine):
    """Compares random calls with a dictionary as the model."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoreState(max_changes=50)
        self.model: dict[str, bytes] = {}
        self.held: dict[str, str] = {}
        self.now = 0.0

    @rule(key=KEYS, value=st.binary(max_size=3), stale=st.booleans())
    def write(self, key: str, value: bytes, stale: bool) -> None:
        entry = self.state.read(key)
        current = entry.revision if entry else 0
        expected = current + 1 if stale else current
        result = self.state.write(key, value, expected=expected)
        assert is_successful(result) is not stale
        if not stale:
            self.model[key] = value
            self.held.pop(key, None)

    @rule(key=KEYS, ttl=st.integers(1, 5))
    def write_leased(self, key: str, ttl: int) -> None:
        lease = self.state.grant_lease(ttl, self.now)
        self.state.write(key, b'x', expected=None, lease=lease).unwrap()
        self.model[key] = b'x'
        self.held[key] = lease

    @rule(key=KEYS)
    def delete(self, key: str) -> None:
        self.state.delete(key, expected=None).unwrap()
        self.model.pop(key, None)
        self.held.pop(key, None)

    @rule(seconds=st.integers(1, 3))
    def pass_time(self, seconds: int) -> None:
        self.now += seconds
        ends = {i: x.expires_at for i, x in self.state.leases.items()}
        self.state.expire_leases(self.now)
        expired = [k for k, i in self.held.items() if ends[i] <= self.now]
        for key in expired:
            self.model.pop(key)
            self.held.pop(key)

    @invariant()
    def data_equals_the_model(self) -> None:
        found = {e.key: e.value for e in self.state.list_prefix('').entries}
        assert found == self.model

    @invariant()
    def replayed_log_equals_the_data(self) -> None:
        if self.state.compacted_revision:
            return
        batch = self.state.changes_after('', 0).unwrap()
        replayed = {c.key: c.value for c in batch.changes}
        live = {k: v for k, v in replayed.items() if v is not None}
        assert live == self.model
        revisions = [c.revision for c in batch.changes]
        assert revisions == sorted(set(revisions))


@given('an empty store state')
def step_state(context: Context) -> None:
    context.state = StoreState()


@given('an empty store state retaining {count:d} changes')
def step_short_state(context: Context, count: int) -> None:
    context.state = StoreState(max_changes=count)


@when('two writers write the same key at the revision they both read')
def step_race(context: Context) -> None:
    first = context.state.write('k', b'0', expected=0).unwrap()
    context.results = [
        context.state.write('k', b'1', expected=first),
        context.state.write('k', b'2', expected=first),
    ]


@then('exactly one of the two writes succeeds')
def step_one_wins(context: Context) -> None:
    assert [is_successful(r) for r in context.results] == [True, False]


@then('the other gets a conflict with the revision of the successful write')
def step_loser(context: Context) -> None:
    winner, loser = context.results
    assert loser.failure() == StoreConflict(winner.unwrap())


@when(
    'a key is written with a lease of {ttl:d} seconds '
    'granted at {now:d} seconds'
)
def step_lease(context: Context, ttl: int, now: int) -> None:
    context.lease = context.state.grant_lease(ttl, now)
    context.state.write('k', b'v', expected=0, lease=context.lease).unwrap()


@then('the key exists at {now:g} seconds')
def step_exists(context: Context, now: float) -> None:
    context.state.expire_leases(now)
    assert context.state.read('k') is not None


@then('the key is gone at {now:g} seconds')
def step_gone(context: Context, now: float) -> None:
    context.state.expire_leases(now)
    assert context.state.read('k') is None


@then('renewal of the expired lease and writes with it are refused')
def step_expired(context: Context) -> None:
    assert not context.state.renew_lease(context.lease, 12)
    write = context.state.write('k', b'', expected=None, lease=context.lease)
    assert not is_successful(write)


@when('{count:d} changes are written')
def step_changes(context: Context, count: int) -> None:
    for index in range(count):
        context.state.write(f'k{index}', b'', expected=0).unwrap()


@then('a watch after revision {after:d} is compacted')
def step_compacted(context: Context, after: int) -> None:
    failure = context.state.changes_after('', after).failure()
    assert isinstance(failure, WatchCompacted)


@then('a watch after revision {after:d} has {count:d} changes')
def step_watch_count(context: Context, after: int, count: int) -> None:
    batch = context.state.changes_after('', after).unwrap()
    assert len(batch.changes) == count


@then('random store calls with seed {number:d} keep the state consistent')
def step_random_calls(context: Context, number: int) -> None:
    machine = seed(number)(StoreCalls)
    bounds = settings(database=None, deadline=None, max_examples=100)
    run_state_machine_as_test(machine, settings=bounds)


@given('a rate limit of {reads:d} reads and {writes:d} writes per second')
def step_rate(context: Context, reads: int, writes: int) -> None:
    context.rate = CallRate(reads, writes)


@when('5 reads, 4 writes and 1 watch arrive within one second')
def step_calls(context: Context) -> None:
    kinds = [CallKind.READ] * 5 + [CallKind.WRITE] * 4 + [CallKind.WATCH]
    for index, kind in enumerate(kinds):
        context.rate.admit(kind, 7 + index / 10)


@then('3 reads, 2 writes and 0 watches are accepted and 5 are refused')
def step_counts(context: Context) -> None:
    count = context.rate.seconds[7]
    accepted = (count.reads, count.writes, count.watches, count.refused)
    assert accepted == (3, 2, 0, 5)


@then('calls are accepted again in the next second')
def step_next_second(context: Context) -> None:
    assert context.rate.admit(CallKind.WATCH, 8)
