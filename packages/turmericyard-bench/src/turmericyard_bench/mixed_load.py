"""A seeded mix of reports, labels, bookings and reads from many callers."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.records import CallRecord, LoadRecord, StreamRecord
from turmericyard_bench.transcript import length_word

REPORT = 'household-report'
LABEL = 'fixture-label'
BOOKING = 'booking'
HISTORY = 'visit-history'
MAX_TOKENS = 4096
#: Interval at which `stopping` is checked during a wait, in seconds.
POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Mix:
    """Requests per second of each kind; output lengths in tokens."""

    reports: float = 0.5
    labels: float = 2
    bookings: float = 2
    reads: float = 2
    report_tokens: tuple[int, int] = (60, 200)
    label_tokens: tuple[int, int] = (4, 16)
    patience_seconds: float = 60

    @property
    def rate(self) -> float:
        """Return the total requests per second."""
        return self.reports + self.labels + self.bookings + self.reads


@dataclass(slots=True)
class MixedLoad:
    """Sends requests until `stopping` is set, then waits for every answer.

    `addresses` returns the nodes' caller addresses; it is called for each
    new caller. `asked` counts the requests.
    """

    addresses: Callable[[], list[str]]
    workspaces: tuple[str, ...]
    mix: Mix
    source: random.Random
    record: LoadRecord = field(default_factory=LoadRecord)
    stopping: bool = False
    asked: int = 0

    async def run(self) -> None:
        """Send requests at the mix's rate, each in its own task."""
        async with curio.TaskGroup() as requests:
            while not self.stopping:
                await requests.spawn(self.next_request())
                await self.wait(self.source.expovariate(self.mix.rate))

    async def wait(self, seconds: float) -> None:
        """Wait for `seconds`, or until `stopping` is set."""
        while seconds > 0 and not self.stopping:
            await curio.sleep(min(seconds, POLL_SECONDS))
            seconds -= POLL_SECONDS

    def next_request(self) -> Coroutine[Any, Any, None]:
        """Return the next request, drawn from the seeded source."""
        self.asked += 1
        mix = self.mix
        caller = self.create_caller()
        kinds = (REPORT, LABEL, BOOKING, HISTORY)
        weights = (mix.reports, mix.labels, mix.bookings, mix.reads)
        kind = self.source.choices(kinds, weights)[0]
        if kind == REPORT:
            return self.request_stream(caller, kind, mix.report_tokens)
        if kind == LABEL:
            return self.request_stream(caller, kind, mix.label_tokens)
        return self.request_call(caller, kind)

    def create_caller(self) -> Caller:
        """Return a caller with the nodes in random order."""
        addresses = self.addresses()
        self.source.shuffle(addresses)
        return Caller(self.source.choice(self.workspaces), addresses)

    def request_stream(
        self, caller: Caller, product: str, tokens: tuple[int, int]
    ) -> Coroutine[Any, Any, None]:
        """Return a request for one generation of random length."""
        name = f'{product}-{self.asked}'
        length = self.source.randint(*tokens)
        prompt = f'{caller.workspace} {name} {length_word(length)}'
        record = StreamRecord(name, caller.workspace, product, prompt)
        self.record.streams.append(record)
        return caller.stream(
            record,
            max_tokens=MAX_TOKENS,
            patience_seconds=self.mix.patience_seconds,
        )

    def request_call(
        self, caller: Caller, product: str
    ) -> Coroutine[Any, Any, None]:
        """Return a call, with an idempotency key when it is not idempotent."""
        name = f'{product}-{self.asked}'
        key = f'key-{name}' if product == BOOKING else ''
        record = CallRecord(name, caller.workspace, product, key, name)
        self.record.calls.append(record)
        return caller.call(record, patience_seconds=self.mix.patience_seconds)


def create_load(
    addresses: Callable[[], list[str]],
    workspaces: tuple[str, ...],
    mix: Mix,
    seed: int,
) -> MixedLoad:
    """Return a load whose requests are drawn from a seed."""
    return MixedLoad(addresses, workspaces, mix, random.Random(seed))
