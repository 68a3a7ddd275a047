"""Steps for learned speeds and the choice by them."""

from collections import Counter
from random import Random

from behave import given, then, when
from behave.runner import Context

from support import uneven_engines
from support.uneven_engines import choose_as_today, choose_by_speed
from turmericyard_decisions.endpoint_choice import CandidateLoad
from turmericyard_decisions.endpoint_occupancy import (
    Occupancy,
    usual_call_seconds,
)
from turmericyard_decisions.endpoint_speed import speed_of_events

SEEDS = (1, 2)


@given(
    'two engines with the speeds "{speeds}", "{running}" streams and "{unread}"'
    ' unread tokens'
)
def step_engines(
    context: Context, speeds: str, running: str, unread: str
) -> None:
    context.engines = [
        CandidateLoad(
            str(number), 'a', 16, int(runs), 0, 9e3, 24e3, int(tokens), speed
        )
        for number, speed, runs, tokens in zip(
            (1, 2),
            map(float, speeds.split()),
            running.split(),
            unread.split(),
            strict=True,
        )
    ]


@when(
    'a generation with a prompt of {prompt:d} and an output of {output:d}'
    ' tokens is placed'
)
def step_place(context: Context, prompt: int, output: int) -> None:
    chosen = choose_by_speed(context.engines, prompt, output, Random(1))
    context.chosen = chosen.identity


@then('engine {number} is chosen by speed')
def step_chosen(context: Context, number: str) -> None:
    assert context.chosen == number, context.chosen


@when(
    'an engine of speed {speed:f} is observed for {seconds:d} s while prompts'
    ' delay events {share:d}% of the time'
)
def step_observe(
    context: Context, speed: float, seconds: int, share: int
) -> None:
    engine = uneven_engines.Engine(speed, Random(1))
    random = Random(1)
    # A prompt is read for about a quarter of a second.
    reads = [random.random() < share / 100 for _ in range(4 * seconds + 1)]
    now = 0.0
    while now < seconds:
        step = 0.0076 + 0.008 * reads[int(4 * now)]
        event_seconds = 4 * step / speed * engine.factor(now)
        now += 5 * event_seconds
        engine.learned.observe(5, speed_of_events(event_seconds, 5, 4), now)
    context.learned, context.now = engine.learned, now


@then('its learned speed is between {low:f} and {high:f}')
def step_learned(context: Context, low: float, high: float) -> None:
    found = context.learned.speed(context.now)
    assert low <= found <= high, found


@then('its learned speed {seconds:d} s later is within 5% of the usual one')
def step_decayed(context: Context, seconds: int) -> None:
    found = context.learned.speed(context.now + seconds)
    assert 0.95 < found < 1.05, found


@when(
    '{rate:d} generations a second are played with and without learned speeds,'
    ' {chunks:d} chunks a step, memory {memory:d}'
)
def step_play(context: Context, rate: int, chunks: int, memory: int) -> None:
    context.outcomes = [Counter(), Counter()]
    for seed in SEEDS:
        for number, choose in enumerate((choose_as_today, choose_by_speed)):
            context.outcomes[number] += uneven_engines.play(
                choose, seed, chunks=chunks, memory=memory, rate=rate
            )


@then('at most {share:d}% as many streams are late as without learned speeds')
def step_late(context: Context, share: int) -> None:
    before, now = context.outcomes
    assert before['late'], before
    assert now['late'] <= before['late'] * share / 100, context.outcomes


@then('the first events come no later, and no more is refused')
def step_no_worse(context: Context) -> None:
    before, now = context.outcomes
    means = [each['first seconds'] / each['begun'] for each in (now, before)]
    assert now['refused'] <= before['refused'], context.outcomes
    assert means[0] <= means[1], context.outcomes


@when('one of two endpoints that answer in {seconds:f} s {event}')
def step_endpoints(context: Context, seconds: float, event: str) -> None:
    first, other = context.endpoints = [Occupancy(''), Occupancy('')]
    for _ in range(3):
        first.observe_call(seconds, 0)
        other.observe_call(seconds, 0)
    if event == 'rejects a call':
        first.observe_rejection(0)
        return
    for _ in range(3):
        first.observe_call(0.15, 0)


def ratio(context: Context, now: float) -> float:
    usual = usual_call_seconds(context.endpoints, now)
    first, other = [
        each.expected_seconds(usual, 0, 6) for each in context.endpoints
    ]
    return first / other


@then('a call there is expected to take longer for at least {seconds:f} s')
def step_longer(context: Context, seconds: float) -> None:
    found = ratio(context, seconds)
    assert found > 1.2, found


@then('{seconds:d} s later both are expected to take the same time')
def step_equal(context: Context, seconds: int) -> None:
    found = ratio(context, seconds)
    assert 0.95 < found < 1.05, found
