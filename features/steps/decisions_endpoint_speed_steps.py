"""Steps for learned speeds and the choice by them."""

from collections import Counter
from random import Random

from behave import given, then, when
from behave.runner import Context

from support import uneven_engines
from support.uneven_engines import choose_as_today, choose_by_speed
from turmericyard_decisions.endpoint_choice import (
    CandidateLoad,
    choose_preferred_endpoint,
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
            str(number), 'a', 16, int(runs), 0, 9e3, 24e3, int(tokens)
        )
        for number, runs, tokens in zip(
            (1, 2), running.split(), unread.split(), strict=True
        )
    ]
    context.speeds = {
        str(number): float(speed)
        for number, speed in enumerate(speeds.split(), 1)
    }


@when(
    'a generation with a prompt of {prompt:d} and an output of {output:d}'
    ' tokens is placed'
)
def step_place(context: Context, prompt: int, output: int) -> None:
    chosen = choose_by_speed(
        context.engines, context.speeds, prompt, output, Random(1)
    )
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


@given(
    'a node prefers endpoint 2 of three with "{running}" open calls of its own'
)
def step_calls(context: Context, running: str) -> None:
    context.loads = [
        CandidateLoad(str(number), 'a', 6, int(calls))
        for number, calls in enumerate(running.split(), 1)
    ]


@when('it makes a call after a rejection by endpoint {number}')
def step_call(context: Context, number: str) -> None:
    context.called = choose_preferred_endpoint(
        context.loads, '2', {number}, Random(1)
    )


@then('endpoint {number} gets the call')
def step_called(context: Context, number: str) -> None:
    assert context.called.identity == number, context.called
