"""Lets runs go on at another endpoint, from a copy or a backup."""

from dataclasses import dataclass

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.copies import CopyCleaner
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_book import LoadBook, Use
from turmericyard_node.forwarding.passage import Passage
from turmericyard_node.forwarding.placement import Placement
from turmericyard_node.forwarding.runs import Run
from turmericyard_node.forwarding.sending import Sender
from turmericyard_ports.request import Continuation

#: Output below which a run has no backup, in tokens.
BACKUP_TOKENS = 100
#: How long an endpoint has to go on with a copy, in seconds.
CONTINUE_SECONDS = 3.0


@dataclass(slots=True)
class Continuer:
    """Chooses backups, and continues runs whose endpoint has ended."""

    sender: Sender
    placement: Placement
    loads: LoadBook
    clock: Clock
    cleaner: CopyCleaner

    async def go_on(self, run: Run, detail: str) -> bool:
        """Continue a run elsewhere; return whether that worked."""
        await run.passage.close()
        if run.job.seconds_left(self.clock()) <= 0:
            return False
        if self.sender.crashes.refuses(run.job):
            return False
        for endpoint, copied in self.continuations(run):
            if not self.placement.placer.knowledge.may_continue(endpoint):
                continue
            if await self.continue_at(run, endpoint, copied):
                log_event(
                    Event.STREAM_CONTINUED,
                    attempt=run.job.attempt,
                    endpoint=endpoint.identity,
                    copy=copied.source,
                    after=run.splice.last,
                    cause=detail,
                )
                return True
        log_event(Event.STREAM_FAILED, attempt=run.job.attempt, message=detail)
        return False

    def continuations(self, run: Run) -> list[tuple[Endpoint, Continuation]]:
        """Return where the run may go on, the best place first."""
        found = []
        last = run.splice.last or '0'
        if run.copy is not None:
            copied = run.copy.copied
            found.append(
                (
                    run.copy.holder,
                    Continuation(copied.source, copied.handle, last),
                )
            )
        if run.backup is not None:
            found.append(
                (
                    run.backup,
                    Continuation(
                        run.backup.record.address, run.job.attempt, last
                    ),
                )
            )
        return found

    async def continue_at(
        self, run: Run, endpoint: Endpoint, copied: Continuation
    ) -> bool:
        """Open the rest of a run's stream at an endpoint."""
        backup = await self.choose_backup(run.job, endpoint)
        seconds = min(CONTINUE_SECONDS, run.job.seconds_left(self.clock()))
        sent = await self.sender.send(
            run.job, endpoint, seconds, backup=backup, copied=copied
        )
        if not isinstance(sent, Passage):
            return False
        if not sent.succeeded:
            await sent.close()
            return False
        unused = run.copy
        if unused is not None and unused.holder is endpoint:
            unused = None
        self.attach(run, endpoint, sent, backup)
        await self.cleaner.discard(run, unused)
        return True

    def attach(
        self,
        run: Run,
        endpoint: Endpoint,
        passage: Passage,
        backup: Endpoint | None,
    ) -> None:
        """Let a run go on at an endpoint."""
        self.loads.end(run.use)
        self.loads.end(run.backup_use)
        if run.copy is not None:
            self.loads.end(run.copy.use)
        run.use = self.loads.begin(Use(endpoint.identity, run.tokens()))
        run.backup_use = self.lend(run.job, backup)
        run.place = endpoint
        run.passage = passage
        run.backup = backup
        run.copy = None
        run.moves += 1
        run.progress_at = self.clock()
        run.began_here = False
        run.splice.restart()
        run.refresh_use()

    async def choose_backup(self, job: Job, place: Endpoint) -> Endpoint | None:
        """Return the endpoint that keeps a running copy, if any."""
        engine = job.service.engine
        if engine is None or not engine.can_back_up:
            return None
        if job.likely_output() < BACKUP_TOKENS:
            return None
        return await self.placement.place_copy(
            job, job.memory_tokens(), place, backup=True
        )

    def lend(self, job: Job, backup: Endpoint | None) -> Use | None:
        """Count the memory of a backup."""
        if backup is None:
            return None
        return self.loads.begin(
            Use(backup.identity, job.prompt_tokens(), lent=True)
        )
