"""Steps for the engine model, without the stand-in."""

import random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st

from support.engine_recorder import Recorder
from turmericyard_bench.engine.events import Accepted, Refused
from turmericyard_bench.engine.model import EngineModel
from turmericyard_bench.engine.shape import EngineShape

SMALL = EngineShape(cold_limit=2, limit=6, memory_tokens=960)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(['submit', 'submit', 'submit', 'cancel', 'cold']),
        st.integers(1, 400),
        st.integers(1, 200),
        st.integers(0, 2),
        st.floats(0, 1),
    ),
    max_size=40,
)


def run_actions(actions, warm: bool) -> None:
    record = Recorder(EngineModel(SMALL, warm=warm))
    cancelled = set()
    for index, (action, prompt, output, priority, wait) in enumerate(actions):
        if action == 'submit':
            record.submit(str(index), prompt, output, priority)
        elif action == 'cancel':
            record.model.cancel(str(prompt % (index + 1)), record.now)
            cancelled.add(str(prompt % (index + 1)))
        else:
            record.model.turn_cold(record.now)
        record.advance(record.now + wait)
    record.run_until_idle()
    lost = {each for crash in record.crashes for each in crash.generations}
    for generation, request in record.requests.items():
        offsets = record.offsets[generation]
        assert offsets == list(range(len(offsets)))
        if generation in record.done:
            assert record.done[generation].tokens == len(offsets)
            assert len(offsets) <= request.output_tokens
        else:
            assert generation in lost | cancelled
    assert len(record.crashes) <= len(record.model.excesses)
    assert record.model.batch.allocator.free == SMALL.memory_tokens // 16


@when('random work runs on engine models')
def step_random_work(context: Context) -> None:
    @seed(11)
    @settings(max_examples=150, database=None, deadline=None)
    @for_all(actions=ACTIONS, warm=st.booleans())
    def check(actions, warm):
        run_actions(actions, warm)

    context.check = check


@then('the engine model kept its invariants')
def step_kept_invariants(context: Context) -> None:
    context.check()


@given('a warm engine model with {tokens:d} tokens of memory')
def step_warm_model(context: Context, tokens: int) -> None:
    shape = EngineShape(memory_tokens=tokens)
    context.record = Recorder(EngineModel(shape, warm=True))


@given('a cold engine model with capacity {count:d}')
def step_cold_model(context: Context, count: int) -> None:
    context.record = Recorder(EngineModel(EngineShape(cold_limit=count)))


@given(
    'an engine generation "{name}" of {prompt:d} prompt and {output:d} '
    'output tokens at priority {priority:d}'
)
def step_generation(
    context: Context, name: str, prompt: int, output: int, priority: int
) -> None:
    answer = context.record.submit(name, prompt, output, priority)
    assert isinstance(answer, Accepted)


@given('a poisonous engine generation')
def step_poisonous(context: Context) -> None:
    context.record.submit('poison', 100, 100, poisonous=True)


@when('the engine model runs until idle')
def step_until_idle(context: Context) -> None:
    context.record.run_until_idle()


@then('the engine model preempted only "{name}"')
def step_preempted_only(context: Context, name: str) -> None:
    assert set(context.record.preempted) == {name}


@then('engine generation "{name}" produced {tokens:d} tokens')
def step_produced(context: Context, name: str, tokens: int) -> None:
    assert context.record.offsets[name] == list(range(tokens))
    assert context.record.done[name].reason == 'stop'


@then('the engine model counted {count:d} stall')
def step_stalls(context: Context, count: int) -> None:
    assert context.record.model.stalls == count
    assert context.record.model.stall_seconds > 0


@then(
    'engine generation "{name}" ended with reason "{reason}" '
    'after {tokens:d} tokens'
)
def step_ended_by(
    context: Context, name: str, reason: str, tokens: int
) -> None:
    assert context.record.done[name].reason == reason
    assert len(context.record.offsets[name]) == tokens


@when('the same long prompt runs twice on the engine model')
def step_same_prompt(context: Context) -> None:
    record = context.record
    context.waits = []
    for name in ('first', 'second'):
        started = record.now
        record.submit(name, 2048, 5, prefix=tuple(range(32)))
        record.run_until_idle()
        context.waits.append(record.first[name] - started)


@then('the second run had its first token sooner')
def step_sooner(context: Context) -> None:
    assert context.waits[1] < context.waits[0] / 2


@when('{count:d} engine generations are submitted at once')
def step_submit_many(context: Context, count: int) -> None:
    for index in range(count):
        context.record.submit(str(index), 100, 100)
    context.record.run_until_idle()


@then('the engine model crashed and lost {count:d} generations')
def step_crashed(context: Context, count: int) -> None:
    assert len(context.record.crashes) == 1
    assert len(context.record.crashes[0].generations) == count
    assert context.record.model.restart == context.record.crashes[0].restart


@then('the engine model recorded an excess of {running:d} over {capacity:d}')
def step_excess(context: Context, running: int, capacity: int) -> None:
    excess = context.record.model.excesses[0]
    assert (excess.running, excess.capacity) == (running, capacity)


@then('the engine model refuses with "{kind}" and then restarts cold')
def step_refuses_down(context: Context, kind: str) -> None:
    record = context.record
    answer = record.submit('later', 10, 10)
    assert isinstance(answer, Refused)
    assert answer.kind.value == kind
    record.now += record.model.shape.down_seconds
    assert isinstance(record.submit('latest', 10, 10), Accepted)
    assert record.model.warmth.is_cold


@when('the engine model produces {tokens:d} tokens within its capacity')
def step_produces(context: Context, tokens: int) -> None:
    for index in range(2):
        context.record.submit(str(index), 10, tokens // 2)
    context.record.run_until_idle()
    assert not context.record.crashes


@then('the engine model has capacity {count:d}')
def step_capacity(context: Context, count: int) -> None:
    assert context.record.model.warmth.capacity == count


@given('a warm engine model that ran {count:d} generations and turned cold')
def step_turned_cold(context: Context, count: int) -> None:
    context.record = Recorder(EngineModel(EngineShape(), warm=True))
    for index in range(count):
        context.record.submit(str(index), 10, 3000)
    context.record.advance(1)
    context.record.model.turn_cold(context.record.now)


@when('an engine generation is submitted {seconds:d} seconds later')
def step_submitted_later(context: Context, seconds: int) -> None:
    record = context.record
    record.advance(record.now + seconds)
    assert len(record.model.batch) == 8
    assert not record.crashes
    record.submit('new', 10, 10)


@then('the engine model recorded an excess of {running:d} over its capacity')
def step_excess_capacity(context: Context, running: int) -> None:
    excess = context.record.model.excesses[0]
    assert excess.running == running
    assert excess.capacity < running
    context.record.run_until_idle()
    assert context.record.crashes


@then(
    'the engine load report shows {running:d} running after {seconds:g} seconds'
)
def step_load_report(context: Context, running: int, seconds: float) -> None:
    context.record.advance(seconds)
    report = context.record.model.load_report(seconds)
    assert report.running == running


@when('{count:d} prompts with distinct prefixes ran on the engine model')
def step_own_prefixes(context: Context, count: int) -> None:
    prefixes = random.Random(3).sample(range(10_000), count)
    for index, prefix in enumerate(prefixes):
        context.record.submit(str(index), 64, 3, prefix=(prefix,))
        context.record.run_until_idle()
        context.record.now += 0.1


@then('the cache events have gaps and none is younger than the lag')
def step_cache_events(context: Context) -> None:
    record = context.record
    events = record.model.cache.events_after(0, record.now)
    numbers = [event.sequence for event in events]
    assert numbers == sorted(numbers)
    assert 16 not in numbers
    assert 17 in numbers
    assert all(event.at <= record.now - 1 for event in events)
    assert max(numbers) < record.model.cache.sequence
