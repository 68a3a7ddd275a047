"""Engines of uneven speed, simulated by their steps, and a load for them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from turmericyard_decisions.endpoint_choice import (
    CandidateLoad,
    PacedDemand,
    choose_engine,
    choose_paced_engine,
)
from turmericyard_decisions.endpoint_speed import LearnedSpeed, speed_of_events

SPEEDS = (0.6, 1.0, 1.6)
ENGINES = 23
PAUSE_TARGET = 0.18
SLOW_SECONDS = 0.6
#: Mean time between two slow periods of 0.6 s, 15% of the time.
NORMAL_SECONDS = 3.4
SLOTS = 16
#: Events of which the median time is reported, and how late a hub knows it.
MEASURED = 5
REPORT_SECONDS = 0.5
Loads = list[CandidateLoad]
Speeds = dict[str, float]
Choose = Callable[[Loads, Speeds, int, int, Random], CandidateLoad | None]


@dataclass
class Generation:
    prompt: int
    output: int
    asked_at: float
    unread: int
    made: int = 0
    event_at: float = 0
    longest: float = 0
    gaps: list[float] = field(default_factory=list)


@dataclass
class Engine:
    speed: float
    random: Random
    runs: list[Generation] = field(default_factory=list)
    idle: bool = True
    slow_from: float = 0
    slow_until: float = 0
    learned: LearnedSpeed = field(default_factory=lambda: LearnedSpeed(''))
    reports: list[tuple[float, float]] = field(default_factory=list)

    def factor(self, now: float) -> float:
        while now >= self.slow_until:
            rest = self.random.expovariate(1 / NORMAL_SECONDS)
            self.slow_from = self.slow_until + rest
            self.slow_until = self.slow_from + SLOW_SECONDS
        return 2.5 if now >= self.slow_from else 1

    def step(self, now: float, chunks: int, outcome: Counter[str]) -> float:
        """Run one step beside some chunks of prompts; return its end."""
        seconds = 0.0
        for run in [run for run in self.runs if run.unread][:chunks]:
            taken = min(112, run.unread)
            run.unread -= taken
            seconds += taken / 14_000
        writing = [run for run in self.runs if not run.unread]
        seconds += (0.007 + 0.00012 * len(writing)) * bool(writing)
        end = now + seconds / self.speed * self.factor(now)
        for run in writing:
            run.made += 1
            if run.made % 4 == 0:
                self.record_event(run, end, outcome)
        for run in writing:
            if run.made >= run.output:
                outcome['late'] += run.longest > PAUSE_TARGET
                self.runs.remove(run)
        return end

    def record_event(
        self, run: Generation, now: float, outcome: Counter[str]
    ) -> None:
        if run.event_at:
            run.gaps.append(now - run.event_at)
            run.longest = max(run.longest, run.gaps[-1])
        else:
            outcome['begun'] += 1
            outcome['first seconds'] += now - run.asked_at
        run.event_at = now
        if len(run.gaps) == MEASURED:
            median = sorted(run.gaps)[MEASURED // 2]
            speed = speed_of_events(median, len(self.runs), 4)
            self.reports.append((now + REPORT_SECONDS, speed))
            run.gaps.clear()

    def learned_speed(self, now: float) -> float:
        while self.reports and self.reports[0][0] <= now:
            at, speed = self.reports.pop(0)
            self.learned.observe(MEASURED, speed, at)
        return self.learned.speed(now)

    def load(self, identity: int, memory: float) -> CandidateLoad:
        return CandidateLoad(
            str(identity),
            'a',
            SLOTS,
            len(self.runs),
            0,
            sum(run.prompt + run.output for run in self.runs),
            memory,
            sum(run.unread for run in self.runs),
        )


def choose_as_today(
    loads: Loads, _speeds: Speeds, prompt: int, output: int, random: Random
) -> CandidateLoad | None:
    return choose_engine(loads, prompt + output, 'a', random)


def choose_by_speed(
    loads: Loads, speeds: Speeds, prompt: int, output: int, random: Random
) -> CandidateLoad | None:
    demand = PacedDemand(prompt, prompt + output, 'a', PAUSE_TARGET, 4)
    return choose_paced_engine(loads, speeds.__getitem__, demand, random)


def play(
    choose: Choose,
    seed: int,
    *,
    chunks: int,
    memory: float,
    rate: float,
    seconds: float = 40,
) -> Counter[str]:
    """Count what becomes of generations; `chunks` of prompts go with a step."""
    random = Random(seed)
    ties = Random(seed)
    engines = [
        Engine(SPEEDS[number % 3], Random(f'{seed} {number}'))
        for number in range(ENGINES)
    ]
    outcome: Counter[str] = Counter()
    queue: list[tuple[float, int]] = [(0, -1)]
    while queue:
        now, number = heappop(queue)
        if number >= 0:
            engine = engines[number]
            engine.idle = not engine.runs
            if engine.runs:
                end = engine.step(now, chunks, outcome)
                heappush(queue, (end, number))
            continue
        asked = draw(random, now)
        loads = [each.load(name, memory) for name, each in enumerate(engines)]
        speeds = {
            str(name): each.learned_speed(now)
            for name, each in enumerate(engines)
        }
        chosen = choose(loads, speeds, asked.prompt, asked.output, ties)
        if chosen is None:
            outcome['refused'] += 1
        else:
            engine = engines[int(chosen.identity)]
            engine.runs.append(asked)
            if engine.idle:
                engine.idle = False
                heappush(queue, (now, int(chosen.identity)))
        after = now + random.expovariate(rate)
        if after < seconds:
            heappush(queue, (after, -1))
    return outcome


def draw(random: Random, now: float) -> Generation:
    """Return a short generation, or a long one."""
    lengths = (400, 1800) if random.random() < 0.4 else (20, 80)
    prompt = random.randint(500, 3000)
    return Generation(prompt, random.randint(*lengths), now, prompt)
