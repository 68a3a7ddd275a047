"""Moves running generations away from endpoints that leave."""

from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_decisions.seats import MEMORY_SHARE
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.placer import Placer
from turmericyard_node.forwarding.runs import Handover, Run, RunBook
from turmericyard_ports.border import Border
from turmericyard_ports.endpoint import CopyFailure, CopyRefused

#: Output left below which a run ends in place sooner than it moves, in tokens.
FINISH_TOKENS = 24
#: Copies that one node makes from one endpoint at a time: those of a link
#: wait for each other anyway.
COPIES_AT_ONCE = 2
#: Tries to copy one run, and the pause between them in seconds.
MOVE_TRIES = 5
TRY_SECONDS = 0.08


@dataclass(slots=True)
class Mover:
    """Copies runs while they go on, then stops and hands them over."""

    border: Border
    placer: Placer
    loads: LoadBook
    book: RunBook
    clock: Clock

    async def leave(self, endpoint: Endpoint) -> None:
        """Move the runs of an endpoint that leaves."""
        runs = order_moves(self.book.at(endpoint))
        async with curio.TaskGroup() as group:
            for lane in range(COPIES_AT_ONCE):
                await group.spawn(self.move_all, runs[lane::COPIES_AT_ONCE])

    async def move_all(self, runs: list[Run]) -> None:
        """Move runs one after the other."""
        for run in runs:
            await self.move(run)

    async def move(self, run: Run) -> None:
        """Move one run; without success it stays where it is."""
        if run.ended or run.moving or not can_move(run):
            return
        run.moving = True
        source = run.place
        started_at = self.clock()
        failure = 'no room elsewhere'
        try:
            for _ in range(MOVE_TRIES):
                if run.ended or run.place is not source:
                    return
                outcome = await self.try_move(run, source)
                if outcome is None:
                    return
                failure = outcome
                await curio.sleep(TRY_SECONDS)
        finally:
            run.moving = False
            log_event(
                Event.RUN_MOVED if run.handover else Event.RUN_NOT_MOVED,
                attempt=run.job.attempt,
                source=source.identity,
                events=run.splice.delivered,
                seconds=round(self.clock() - started_at, 3),
                detail=failure,
            )

    async def try_move(self, run: Run, source: Endpoint) -> str | None:
        """Copy, stop and hand over; return why that failed."""
        destination = self.placer.place_copy(
            run.job,
            run.tokens() + run.remaining_tokens() / 2,
            source,
            MEMORY_SHARE,
        )
        if destination is None:
            return 'no room elsewhere'
        use = self.loads.begin(
            Use(destination.identity, run.tokens(), lent=True)
        )
        try:
            return await self.copy(run, source, destination)
        finally:
            self.loads.end(use)

    async def copy(
        self, run: Run, source: Endpoint, destination: Endpoint
    ) -> str | None:
        """Copy while the run goes on, then the rest with the run stopped."""
        first = await self.border.copy_run(
            source.record.address,
            run.job.attempt,
            destination.record.address,
            last=False,
        )
        if not isinstance(first, Success):
            return first.failure().message
        if run.ended:
            await self.border.drop_copy(
                source.record.address, first.unwrap().handle
            )
            return None
        run.stopping = curio.Event()
        try:
            return await self.stop(run, source, destination)
        finally:
            await run.stopping.set()

    async def stop(
        self, run: Run, source: Endpoint, destination: Endpoint
    ) -> str | None:
        """Stop the run and hand it over; return why that failed."""
        final = await self.border.copy_run(
            source.record.address,
            run.job.attempt,
            destination.record.address,
            last=True,
        )
        if isinstance(final, Success):
            run.handover = Handover(final.unwrap(), destination)
            return None
        refused: CopyRefused = final.failure()
        if refused.kept is not None:
            run.handover = Handover(refused.kept, source)
            return None
        if refused.failure is CopyFailure.NO_RUN:
            return None
        return refused.message


def order_moves(runs: list[Run]) -> list[Run]:
    """Return the runs, those with most made and most to come first."""
    return sorted(
        runs,
        key=lambda run: run.tokens() + run.remaining_tokens(),
        reverse=True,
    )


def can_move(run: Run) -> bool:
    """Return whether a move of the run is possible and pays."""
    engine = run.job.service.engine
    if engine is None or not engine.can_move:
        return False
    return run.remaining_tokens() > FINISH_TOKENS
