"""Open-loop load run against nodes."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.load.workload import LoadRequest
from turmericyard_bench.meter import Meter
from turmericyard_bench.records import StreamRecord
from turmericyard_bench.transcript import read_transcript, text_tokens
from turmericyard_http.clock import boot_seconds

#: Name of the meter over all products.
ALL_PRODUCTS = 'all'
PROGRESS_SECONDS = 1.0


@dataclass(slots=True)
class LoadRun:
    """One load run.

    `faults` lists answers whose text was faulty or not the expected one.
    `patience_seconds` is how long a caller retries and resumes. `answer_counts`
    counts the answers by outcome and kind.
    """

    addresses: tuple[str, ...]
    patience_seconds: float
    meters: dict[str, Meter] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    answer_counts: Counter[str] = field(default_factory=Counter)
    started: int = 0
    ended: int = 0
    resumes: int = 0
    seconds: float = 0

    async def run(
        self, requests: Iterable[LoadRequest], progress: Callable[[str], None]
    ) -> None:
        """Send each request at its scheduled time and wait for all answers."""
        started_at = boot_seconds()
        ticker = await curio.spawn(self.report_progress, progress, daemon=True)
        async with curio.TaskGroup() as group:
            for request in requests:
                await curio.sleep(started_at + request.at - boot_seconds())
                await group.spawn(self.send, request)
        await ticker.cancel()
        self.seconds = boot_seconds() - started_at

    async def report_progress(self, progress: Callable[[str], None]) -> None:
        """Report the progress each second."""
        while True:
            await curio.sleep(PROGRESS_SECONDS)
            tokens = self.meter(ALL_PRODUCTS).tokens
            progress(
                f'{self.started} started, {self.ended} ended, '
                f'{tokens} tokens of completed answers, {len(self.faults)} faults'
            )

    async def send(self, request: LoadRequest) -> None:
        """Request one generation and add its answer to the meters."""
        self.started += 1
        record = StreamRecord(
            f'load-{request.number}',
            request.workspace,
            request.product,
            request.prompt,
        )
        caller = Caller(
            request.workspace, self.rotated_addresses(request.number)
        )
        await caller.stream(
            record,
            max_tokens=request.tokens,
            patience_seconds=self.patience_seconds,
        )
        self.ended += 1
        self.resumes += record.resumes
        for verdict in record.verdicts:
            self.answer_counts[f'{verdict.outcome} {verdict.kind}'] += 1
        outcome = self.record_outcome(record)
        for name in (ALL_PRODUCTS, request.product):
            meter_record(self.meter(name), record, outcome)

    def record_outcome(self, record: StreamRecord) -> str:
        """Return the outcome of a record; add a faulty answer to `faults`."""
        if not record.whole:
            last = record.verdicts[-1].outcome if record.verdicts else 'none'
            return f'unanswered ({last})'
        prompt = text_tokens(record.prompt)
        transcript = read_transcript(prompt, record.text)
        if transcript.fault or transcript.tokens != record.told_tokens:
            self.faults.append(f'{record.name}: {transcript}')
            return 'faulty'
        return 'whole'

    def rotated_addresses(self, number: int) -> list[str]:
        """Return the addresses, rotated by the number of the request."""
        first = number % len(self.addresses)
        return [*self.addresses[first:], *self.addresses[:first]]

    def meter(self, name: str) -> Meter:
        """Return the meter of a product, creating it when absent."""
        return self.meters.setdefault(name, Meter())

    def summary(self) -> dict[str, Any]:
        """Return the results as JSON values."""
        return {
            'seconds': self.seconds,
            'tokens_per_second': self.meter(ALL_PRODUCTS).tokens / self.seconds,
            'resumes': self.resumes,
            'answers': dict(self.answer_counts),
            'faults': self.faults,
            'products': {
                name: meter.summary() for name, meter in self.meters.items()
            },
        }


def meter_record(meter: Meter, record: StreamRecord, outcome: str) -> None:
    """Add one record to a meter."""
    meter.outcomes[outcome] += 1
    tokens = record.tokens
    meter.tokens += len(tokens)
    if not tokens:
        return
    meter.record_first(tokens[0].at - record.asked_at)
    meter.record_whole(tokens[-1].at - record.asked_at)
    for earlier, later in pairwise(tokens):
        meter.record_interval(later.at - earlier.at)
