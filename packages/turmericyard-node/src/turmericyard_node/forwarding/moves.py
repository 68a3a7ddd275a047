"""Copies running generations away from endpoints that leave.

A run goes on at its endpoint until that ends; then its stream continues from
the copy. Nothing is stopped before: a last step for each run would wait behind
the other runs' copies on the same link, and its stream with it.
"""

from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_decisions.run_moves import order_copies
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.copies import CopyCleaner
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.placement import Placement
from turmericyard_node.forwarding.runs import Run, RunBook, RunCopy
from turmericyard_ports.border import Border

#: Output left below which a run ends in place sooner than it is copied, in
#: tokens.
FINISH_TOKENS = 24
#: Copies that one node makes from one endpoint at a time: those of a link
#: wait for each other anyway.
COPIES_AT_ONCE = 2
#: Pause after a copy that failed, in seconds.
RETRY_SECONDS = 0.1
#: Age at which a copy is brought up to date, in seconds; it lapses at a few
#: times that.
REFRESH_SECONDS = 1.5


@dataclass(slots=True)
class Mover:
    """Keeps copies of the runs of endpoints that leave."""

    border: Border
    placement: Placement
    loads: LoadBook
    book: RunBook
    clock: Clock
    instruments: Instruments
    cleaner: CopyCleaner

    async def leave(self, endpoint: Endpoint) -> None:
        """Copy the runs of an endpoint that leaves until it has ended.

        Requests that were sent before it left may still begin to run there.
        """
        while self.loads.has_use_of(endpoint.identity):
            runs = [
                run for run in self.book.at(endpoint) if self.needs_copy(run)
            ]
            ordered = order_copies(runs, Run.tokens)
            async with curio.TaskGroup() as group:
                for lane in range(COPIES_AT_ONCE):
                    await group.spawn(
                        self.copy_all, ordered[lane::COPIES_AT_ONCE]
                    )
            await curio.sleep(RETRY_SECONDS)

    def needs_copy(self, run: Run) -> bool:
        """Return whether a copy of the run is due and pays."""
        engine = run.job.service.engine
        if engine is None or not engine.can_move or run.ended:
            return False
        if run.backup is not None and self.stays(run.backup):
            return False
        if run.copy is not None and self.stays(run.copy.holder):
            return self.clock() - run.copied_at > REFRESH_SECONDS
        return run.remaining_tokens() > FINISH_TOKENS

    def stays(self, holder: Endpoint) -> bool:
        """Return whether a run may go on at the endpoint that has its copy."""
        return self.placement.placer.knowledge.stays(holder)

    async def copy_all(self, runs: list[Run]) -> None:
        """Copy runs one after the other."""
        for run in runs:
            await self.copy(run)

    async def copy(self, run: Run) -> None:
        """Copy a run, or bring its copy up to date."""
        source = run.place
        holder = await self.choose_holder(run)
        if run.ended:
            return
        if holder is None:
            self.log(run, None, 0, 'no room elsewhere')
            return
        use = self.loads.begin(Use(holder.identity, run.tokens(), lent=True))
        await self.loads.news.set()
        started_at = self.clock()
        copied = await self.border.copy_run(
            source.record.address,
            run.job.attempt,
            holder.record.address,
            last=False,
        )
        done = isinstance(copied, Success)
        detail = '' if done else copied.failure().message
        self.log(run, holder, self.clock() - started_at, detail)
        if not done:
            run.unfit.add(holder.identity)
            self.loads.end(use)
            return
        made = RunCopy(copied.unwrap(), holder, use)
        if run.ended or run.place is not source:
            self.loads.end(use)
            await self.cleaner.discard(run, made)
            return
        await self.keep(run, made)
        run.copied_at = started_at

    async def keep(self, run: Run, made: RunCopy) -> None:
        """Take a copy in place of the one before, which may be the same."""
        former = run.copy
        run.copy = made
        if former is not None:
            self.loads.end(former.use)
            if former.copied != made.copied:
                await self.cleaner.discard(run, former)

    def log(
        self, run: Run, holder: Endpoint | None, seconds: float, detail: str
    ) -> None:
        """Count a copy and write how it went; no detail is a success."""
        self.instruments.copied(run.job.service.name, done=not detail)
        log_event(
            Event.RUN_NOT_COPIED if detail else Event.RUN_COPIED,
            attempt=run.job.attempt,
            source=run.place.identity,
            holder=holder.identity if holder else None,
            tokens=int(run.tokens()),
            seconds=round(seconds, 3),
            detail=detail,
        )

    async def choose_holder(self, run: Run) -> Endpoint | None:
        """Return the endpoint for a run's copy, the same one as before.

        One that had no room for it is asked again after all others.
        """
        if run.copy is not None and self.stays(run.copy.holder):
            return run.copy.holder
        found = await self.placement.place_copy(
            run.job, run.tokens(), run.place, run.unfit, backup=False
        )
        if found is None:
            run.unfit.clear()
        return found
