"""Speeds of engines as learned from the events of their streams.

An engine alternates between steps, each of which gives every running generation
one token, and chunks of the prompts that it reads. Both take their time divided
by the speed of the engine.
"""

from collections import deque
from dataclasses import dataclass, field
from functools import partial
from math import ceil, exp, log

#: Time of a step at the usual speed, in seconds, and what each running
#: generation adds to it, from the engines' published figures.
STEP_SECONDS = 0.007
RUN_STEP_SECONDS = 0.00012
#: Prompt tokens that are read between two steps, and the time for them at the
#: usual speed, in seconds, from the engines' published figures.
CHUNK_TOKENS = 112
CHUNK_SECONDS = 0.008
#: Tokens of an event where the configuration does not give them.
TOKENS_PER_EVENT = 4
#: Speed of an engine that has not been observed.
USUAL_SPEED = 1.0
#: Bounds of a learned speed: single delays by the network must not make an
#: engine look useless. Engines differ by 2.7 times, 6.8 with slow periods.
MIN_SPEED = 0.2
MAX_SPEED = 4.0
#: Engines are slower by this factor for short periods, a share of the time.
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
#: Time constant with which observations lose their weight, in seconds.
DECAY_SECONDS = 5.0
#: Observations within this time count as one, in seconds: the streams of an
#: engine are slow together.
BIN_SECONDS = 0.25
#: Bins that are kept: 8 seconds of a busy engine, longer than `DECAY_SECONDS`.
MAX_BINS = 32
#: Events from which a bin has its full weight.
MAX_BIN_EVENTS = 10.0
#: Events that weigh as much as the assumption of the usual speed: one
#: measurement counts more than it, and one in a slow period does not decide.
PRIOR_EVENTS = 3.0
#: Quantile of the observed speeds that is used. Prompts and slow periods make up
#: to half of the observations slower, nothing makes them faster than the engine
#: is; with 0.7 an engine of speed 1.6 under load was taken for one of 1.36.
SPEED_QUANTILE = 0.8


def step_seconds(running: float) -> float:
    """Return the time of a step with so many generations, at usual speed."""
    return STEP_SECONDS + RUN_STEP_SECONDS * running


def speed_of_events(
    event_seconds: float, running: float, tokens_per_event: int
) -> float:
    """Return the speed at which an event takes a time, within the bounds."""
    tokens = tokens_per_event or TOKENS_PER_EVENT
    speed = tokens * step_seconds(running) / event_seconds
    return min(max(speed, MIN_SPEED), MAX_SPEED)


@dataclass(slots=True)
class EngineLoad:
    """What an engine does at a time; `unread_tokens` are of its prompts.

    It is not frozen, since one is created for each candidate of a placement and
    frozen ones take three times as long.
    """

    running: int
    unread_tokens: float = 0
    speed: float = USUAL_SPEED
    tokens_per_event: int = TOKENS_PER_EVENT

    def streaming(self) -> int:
        """Return how many generations have begun to send events.

        How many prompts the unread tokens belong to is not known; at least one.
        """
        return max(0, self.running - bool(self.unread_tokens))

    def pause(self) -> float:
        """Return the pause between two events while one more prompt is read.

        A chunk of each prompt that is being read comes between two steps. The
        time is in seconds and outside of slow periods.
        """
        prompts = 1 + bool(self.unread_tokens)
        step = step_seconds(self.running + 1) + prompts * CHUNK_SECONDS
        return (self.tokens_per_event or TOKENS_PER_EVENT) * step / self.speed

    def late_streams(self, pause_target: float) -> float:
        """Return how many streams are expected to pause for too long.

        These are streams that run here when one more prompt is read. A pause
        that is too long only in a slow period counts by its likelihood.
        """
        return self.streaming() * self.late_share(pause_target)

    def late_share(self, pause_target: float) -> float:
        """Return the likelihood that a pause exceeds its target."""
        pause = self.pause()
        if not pause_target or SLOW_FACTOR * pause <= pause_target:
            return 0
        return SLOW_SHARE if pause <= pause_target else 1

    def first_event_seconds(self, prompt_tokens: float) -> float:
        """Return the expected time to the first event of one more prompt.

        Unread prompts are read first; while streams run, each chunk is
        followed by a step of them.
        """
        chunks = ceil((self.unread_tokens + prompt_tokens) / CHUNK_TOKENS)
        step = step_seconds(self.running + 1)
        between = step if self.streaming() else 0
        tokens = self.tokens_per_event or TOKENS_PER_EVENT
        return (chunks * (CHUNK_SECONDS + between) + tokens * step) / self.speed

    def stream_seconds(self, output_tokens: float) -> float:
        """Return the expected time from the first event to the last."""
        step = step_seconds(self.running + 1)
        return max(0, output_tokens) * step / self.speed


@dataclass(slots=True)
class SpeedBin:
    """Observations of a short time: events and the mean of their speeds."""

    began_at: float
    events: float = 0
    log_speed: float = 0

    def add(self, events: float, log_speed: float) -> None:
        """Add observed events and the logarithm of their speed."""
        total = self.events + events
        self.log_speed += (log_speed - self.log_speed) * events / total
        self.events = total

    def weight(self, now: float) -> float:
        """Return the weight of the observations at a time."""
        age = max(0, now - self.began_at)
        return min(self.events, MAX_BIN_EVENTS) * exp(-age / DECAY_SECONDS)


@dataclass(slots=True)
class LearnedSpeed:
    """The speed of one start of an engine.

    `start` tells the start from others of the same engine.
    """

    start: object
    bins: deque[SpeedBin] = field(
        default_factory=partial(deque, maxlen=MAX_BINS)
    )

    def observe(self, events: float, speed: float, now: float) -> None:
        """Record that events came at a speed."""
        if not self.bins or now - self.bins[-1].began_at >= BIN_SECONDS:
            self.bins.append(SpeedBin(now))
        self.bins[-1].add(events, log(speed))

    def weight(self, now: float) -> float:
        """Return how many events the observations are worth at a time."""
        return sum(each.weight(now) for each in self.bins)

    def speed(self, now: float) -> float:
        """Return the expected speed; without observations the usual one."""
        weights = [(each.log_speed, each.weight(now)) for each in self.bins]
        total = sum(weight for _, weight in weights)
        if not total:
            return USUAL_SPEED
        known = total / (total + PRIOR_EVENTS)
        return USUAL_SPEED * exp(known * quantile(weights, total))


def quantile(weights: list[tuple[float, float]], total: float) -> float:
    """Return the value below which `SPEED_QUANTILE` of all weight lies."""
    below: float = 0
    for found, weight in sorted(weights):
        below += weight
        if below >= SPEED_QUANTILE * total:
            return found
    return max(weights)[0]
