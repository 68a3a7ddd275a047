"""Demonstration of the Vodnik deployment as processes on loopback.

Run by `make demo`. Each check uses only what the caller received and
what the stand-ins recorded. Exit status 0 when all checks held.
"""

import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

import click
import curio

from turmericyard_bench.caller import Caller
from turmericyard_bench.deployment import (
    Deployment,
    NodeProcess,
    Plan,
    start_deployment,
)
from turmericyard_bench.invariants import (
    REMOVAL_DEADLINE_SECONDS,
    Absence,
    Evidence,
    check_all,
)
from turmericyard_bench.launch import create_launcher
from turmericyard_bench.ledgers import read_ledgers
from turmericyard_bench.records import CallRecord, LoadRecord, StreamRecord
from turmericyard_bench.transcript import length_word
from turmericyard_http.clock import boot_seconds

WORKSPACE = 'ljubljana-voda'
ZONE = 'lj-a'
REPORT = 'household-report'
LABEL = 'fixture-label'
BOOKING = 'booking'
TIMING = {'address_ttl_seconds': 1, 'drain_margin_seconds': 0.5}
REQUEST_TIMEOUT_SECONDS = 30
#: Output lengths of the two reports, in tokens.
SHORT_REPORT = 100
LONG_REPORT = 250
MAX_TOKENS = 4096
#: Tokens that a report has received when its node is killed.
TOKENS_BEFORE_KILL = 40
#: Time for which the zone is out of service, in seconds.
OUT_SECONDS = REMOVAL_DEADLINE_SECONDS + 2
#: Time for which labels are requested after the zone's return, in seconds.
RETURN_SECONDS = 4
LABEL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Step:
    """One step of the demonstration: a line of the printed table."""

    title: str
    seen: str
    held: bool


@dataclass(slots=True)
class Demo:
    """The steps of the demonstration, in order."""

    deployment: Deployment
    load: LoadRecord = field(default_factory=LoadRecord)
    absences: list[Absence] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)

    def caller(self) -> Caller:
        """Return a caller with the addresses of all running nodes."""
        return Caller(WORKSPACE, self.deployment.addresses())

    def record_step(self, title: str, seen: str, *, held: bool) -> None:
        """Print one step and store it for the exit status."""
        self.steps.append(Step(title, seen, held))
        click.echo(f'{"held" if held else "BROKEN":7}{title:48}{seen}')

    async def run(self) -> None:
        """Run all steps in order."""
        await self.stream_report()
        await self.book_twice()
        await self.kill_node_mid_report()
        await self.remove_and_return_zone()
        self.check_invariants()

    async def stream_report(self) -> None:
        """Stream one report to a caller."""
        prompt = f'boiler and cistern {length_word(SHORT_REPORT)}'
        record = await self.report('report-1', prompt)
        self.record_step(
            'household report streamed',
            f'{len(record.tokens)} tokens in {duration(record):.1f} s',
            held=record.whole,
        )

    async def report(
        self, name: str, prompt: str, caller: Caller | None = None
    ) -> StreamRecord:
        """Request one report and return its record."""
        record = StreamRecord(name, WORKSPACE, REPORT, prompt)
        self.load.streams.append(record)
        await (caller or self.caller()).stream(
            record,
            max_tokens=MAX_TOKENS,
            patience_seconds=REQUEST_TIMEOUT_SECONDS,
        )
        return record

    async def book_twice(self) -> None:
        """Send one booking to two nodes at once, then again, with one key."""
        callers = [self.caller(), self.caller()]
        callers[1].move_to_end(callers[1].address())
        key = 'visit-of-mrs-novak'
        tasks = [
            await curio.spawn(self.book(caller, key)) for caller in callers
        ]
        answers = [await task.join() for task in tasks]
        answers.append(await self.book(callers[0], key))
        runs = read_ledgers(self.deployment).runs_by_key()[key]
        self.record_step(
            'booking sent three times with one key',
            f'ran {runs} time(s), answers {", ".join(answers)}',
            held=runs == 1 and set(answers) == {'done'},
        )

    async def book(self, caller: Caller, key: str) -> str:
        """Request one booking and return its final outcome."""
        name = f'booking-{len(self.load.calls) + 1}'
        record = CallRecord(name, WORKSPACE, BOOKING, key, 'mrs-novak')
        self.load.calls.append(record)
        await caller.call(record, patience_seconds=REQUEST_TIMEOUT_SECONDS)
        return record.verdicts[-1].outcome

    async def kill_node_mid_report(self) -> None:
        """Kill the node that streams a report; the caller resumes it."""
        caller = self.caller()
        prompt = f'whole house {length_word(LONG_REPORT)}'
        task = await curio.spawn(self.report('report-2', prompt, caller))
        record = await self.wait_for_tokens('report-2')
        killed = self.node_at(caller.address())
        killed.process.kill()
        at = len(record.tokens)
        await task.join()
        self.record_step(
            'node killed mid-report',
            f'{killed.name} at token {at}; {len(record.tokens)} of '
            f'{record.told_tokens} tokens, {record.resumes} resume(s)',
            held=record.whole and record.attempts == 1 and record.resumes > 0,
        )
        self.deployment.restart_node(killed.name)

    async def wait_for_tokens(self, name: str) -> StreamRecord:
        """Return the record when it has TOKENS_BEFORE_KILL tokens or ended."""
        while True:
            for record in self.load.streams:
                ready = len(record.tokens) >= TOKENS_BEFORE_KILL
                if record.name == name and (ready or record.ended):
                    return record
            await curio.sleep(LABEL_INTERVAL_SECONDS)

    def node_at(self, address: str) -> NodeProcess:
        """Return the node of a caller's address."""
        return next(
            node
            for node in self.deployment.nodes.values()
            if node.address == address
        )

    async def remove_and_return_zone(self) -> None:
        """Take a zone out of service and put it back, under label requests."""
        labels = await curio.spawn(self.request_labels)
        endpoints = self.deployment.endpoint_names(ZONE)
        taken_out = self.deployment.require('zone', 'out', ZONE)
        await curio.sleep(OUT_SECONDS)
        begin = boot_seconds()
        brought_in = self.deployment.require('zone', 'in', ZONE)
        self.absences.append(
            Absence(f'zone {ZONE}', endpoints, taken_out.ended, begin)
        )
        await curio.sleep(RETURN_SECONDS)
        await labels.cancel()
        ledgers = read_ledgers(self.deployment)
        late = ledgers.work_after(
            endpoints, taken_out.ended + REMOVAL_DEADLINE_SECONDS, begin
        )
        back = ledgers.work_after(endpoints, brought_in.ended, boot_seconds())
        during = ledgers.work_after(
            endpoints,
            taken_out.ended,
            taken_out.ended + REMOVAL_DEADLINE_SECONDS,
        )
        last = max((at for _, at in during), default=taken_out.ended)
        self.record_step(
            f'zone {ZONE} taken out',
            f'last new work {last - taken_out.ended:.2f} s after the command',
            held=not late,
        )
        self.record_step(
            f'zone {ZONE} brought back',
            f'{len(back)} new requests there in {RETURN_SECONDS} s',
            held=bool(back),
        )

    async def request_labels(self) -> None:
        """Request labels at a fixed interval until cancelled."""
        caller = self.caller()
        source = random.Random(1)
        number = 0
        async with curio.TaskGroup() as group:
            while True:
                number += 1
                name = f'label-{number}'
                record = StreamRecord(
                    name, WORKSPACE, LABEL, f'tap {source.random()}'
                )
                await group.spawn(self.request_label, caller, record)
                await curio.sleep(LABEL_INTERVAL_SECONDS)

    async def request_label(self, caller: Caller, record: StreamRecord) -> None:
        """Request one label; only requests that are not cancelled are kept."""
        await caller.stream(record, max_tokens=8, patience_seconds=10)
        self.load.streams.append(record)

    def check_invariants(self) -> None:
        """Check all invariants and add a step for each that has cases."""
        evidence = Evidence(
            self.load, read_ledgers(self.deployment), self.absences
        )
        for result in check_all(evidence):
            if result.cases:
                seen = '; '.join(result.breaches) or f'{result.cases} cases'
                self.record_step(result.name, seen, held=result.held)


def duration(record: StreamRecord) -> float:
    """Return the seconds from the request to the last token."""
    return record.tokens[-1].at - record.asked_at if record.tokens else 0


@click.command()
@click.option(
    '--examples',
    type=click.Path(path_type=Path, exists=True),
    default=Path('examples'),
    help='Directory of the example deployments.',
)
def main(examples: Path) -> None:
    """Run the Vodnik deployment in normal operation and under failures."""
    started_at = boot_seconds()
    launcher = create_launcher()
    try:
        demo = Demo(
            start_deployment(launcher, Plan(examples / 'vodnik', timing=TIMING))
        )
        count = len(launcher.processes)
        click.echo(
            f'{count} processes ready after {boot_seconds() - started_at:.1f} s'
        )
        curio.run(demo.run)
    finally:
        launcher.close()
    held = all(step.held for step in demo.steps)
    verdict = 'every check held' if held else 'a check is broken'
    click.echo(
        f'{verdict}; {boot_seconds() - started_at:.1f} s; all processes stopped'
    )
    if not held:
        click.echo(f'logs: {launcher.directory}')
        sys.exit(1)
    launcher.discard_logs()


if __name__ == '__main__':
    main()
