"""Steps for the decision to hedge, by replay of recorded response times."""

import heapq
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context

from turmericyard_decisions.hedging import (
    MAX_CANCELLED,
    HedgingPolicy,
    LateRequest,
    create_hedging_policy,
)
from turmericyard_decisions.response_times import RequestKind

KIND = RequestKind('plain')
SECONDS = 0.05
ENDPOINTS = 20
LATE = LateRequest(True, False, False, True, 9)


def steady(random: Random) -> float:
    return SECONDS * random.uniform(0.8, 1.2)


def recorded_seconds(
    times: str, endpoint: int, now: float, random: Random
) -> float:
    """Return the time of a response that begins now, as recorded."""
    seconds = steady(random)
    if times.startswith('one endpoint'):
        return seconds * (5 if endpoint == 0 else 1)
    if times.startswith('all'):
        return seconds * (5 if now > 20 else 1)
    if times.startswith('bursts'):
        return seconds * (5 if now % 5 > 4 else 1)
    if times.startswith('one response'):
        return seconds * (10 if random.random() < 0.02 else 1)
    return seconds


class Replay:
    """Replays requests; `events` are arrivals, ends and late checks by time."""

    def __init__(self, times: str, rate: float, policy: HedgingPolicy) -> None:
        self.times = times
        self.rate = rate
        self.policy = policy
        self.random = Random(7)
        self.numbers = count()
        self.events: list[tuple[float, int, str, Any]] = []
        self.taken: list[float] = []
        self.hedged = 0

    def at(self, when: float, name: str, *values: Any) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), name, values))

    def run(self, requests: int) -> None:
        for number in range(requests):
            self.at(number / self.rate, 'arrive')
        while self.events:
            now, _, name, values = heapq.heappop(self.events)
            getattr(self, name)(now, *values)

    def arrive(self, now: float) -> None:
        self.policy.budget('plain').earn(self.policy.share)
        request: dict[str, Any] = {'at': now, 'sent': [], 'done': False}
        sent = self.send(now, request, self.random.randrange(ENDPOINTS))
        delay = self.policy.delay(KIND, sent.endpoint)
        if delay is not None:
            self.at(now + delay, 'check', request)

    def send(self, now: float, request: dict[str, Any], endpoint: int) -> Any:
        sent = self.policy.begin(KIND, str(endpoint), now)
        request['sent'].append(sent)
        taken = recorded_seconds(self.times, endpoint, now, self.random)
        self.at(now + taken, 'end', request, sent)
        return sent

    def check(self, now: float, request: dict[str, Any]) -> None:
        sent = request['sent'][0]
        if request['done'] or self.policy.refusal(sent, LATE, now):
            return
        self.policy.budget('plain').spend()
        self.hedged += 1
        other = int(sent.endpoint) + self.random.randrange(1, ENDPOINTS)
        self.send(now, request, other % ENDPOINTS)

    def end(self, now: float, request: dict[str, Any], sent: Any) -> None:
        if request['done']:
            return
        request['done'] = True
        self.taken.append(now - request['at'])
        self.policy.end(sent, now)
        for other in request['sent']:
            if other is not sent:
                self.policy.cancel(other, now)

    def quantile(self, share: float) -> float:
        return sorted(self.taken)[int(share * len(self.taken))]


@given('recorded times of 20 endpoints: {times}')
def step_times(context: Context, times: str) -> None:
    context.times = times


@when(
    '{count:d} requests are replayed at {rate:g} a second with a share of'
    ' {share:g}'
)
def step_replay(
    context: Context, count: int, rate: float, share: float
) -> None:
    context.replays = []
    for each in (0, share):
        replay = Replay(context.times, rate, create_hedging_policy(each))
        replay.run(count)
        context.replays.append(replay)


@then('from {least:d} to {most:d} requests were hedged')
def step_hedged(context: Context, least: int, most: int) -> None:
    assert least <= context.replays[1].hedged <= most, context.replays[1].hedged


@then('hedging made the {share:g} quantile at least {gain:g} times as fast')
def step_gain(context: Context, share: float, gain: float) -> None:
    plain, hedged = [each.quantile(share) for each in context.replays]
    assert plain >= 0.98 * gain * hedged, (plain, hedged)


@given('a late request that would be hedged')
def step_late(context: Context) -> None:
    policy = create_hedging_policy(0.1)
    policy.budget('plain').saved = 1
    random = Random(1)
    for number in range(200):
        sent = policy.begin(KIND, str(number % ENDPOINTS), number / 10)
        policy.end(sent, number / 10 + steady(random))
    context.policy, context.late, context.now = policy, LATE, 20.5
    context.sent = policy.begin(KIND, '0', 20)
    policy.end(policy.begin(KIND, '1', 20.1), 20.15)
    assert policy.refusal(context.sent, LATE, 20.5) is None


@when('the decision is made while {condition}')
def step_condition(context: Context, condition: str) -> None:
    policy: HedgingPolicy = context.policy
    changes = {
        'no attempt is left': {'has_attempts': False},
        'endpoints crashed that ran it': {'is_struck': True},
        'requests wait for room': {'has_waiters': True},
        'the retry budget is used up': {'may_retry': False},
        'it has no time left': {'seconds_left': 0.01},
    }
    context.late = replace(LATE, **changes.get(condition, {}))
    if condition == 'an endpoint rejected a request':
        policy.reject(policy.begin(KIND, '2', 20.2), 20.3)
    elif condition == 'the share is used up':
        policy.budget('plain').spend()
    elif condition == 'its service became slower meanwhile':
        for _ in range(300):
            policy.end(policy.begin(KIND, '2', 19.5), 20.1)
    elif condition == 'three late requests there were cancelled':
        for _ in range(MAX_CANCELLED):
            policy.cancel(policy.begin(KIND, '0', 19), 19.5)


@then('it is not hedged for "{reason}"')
def step_refused(context: Context, reason: str) -> None:
    found = context.policy.refusal(context.sent, context.late, context.now)
    assert found is not None
    assert found.value == reason, found


@given('no responses')
def step_nothing(context: Context) -> None:
    context.policy = create_hedging_policy(0.1)


@then('no response is late')
def step_no_delay(context: Context) -> None:
    assert context.policy.delay(KIND, '0') is None
