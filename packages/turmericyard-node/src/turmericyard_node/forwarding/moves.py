"""Copies running generations from endpoints that leave to others.

A run continues at its endpoint until the endpoint stops; then its stream
continues from the copy. Runs are not stopped for a last copy: it would wait
behind the copies of other runs on the same link, and delay the stream.
"""

from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_decisions.run_moves import order_copies
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.copies import CopyCalls, CopyCleaner
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.load_tracker import LoadTracker, RequestLoad
from turmericyard_node.forwarding.paths import EndpointPaths
from turmericyard_node.forwarding.placement import HubPlacement
from turmericyard_node.forwarding.runs import Run, RunCopy, RunRegistry
from turmericyard_ports.border import PlatformAdapter

#: Remaining output up to which a run is not copied, in tokens: it ends sooner
#: than its copy would be made.
MAX_UNCOPIED_TOKENS = 24
#: Copies that one node makes from one endpoint at the same time: they share the
#: endpoint's link, so that more of them would not be faster.
MAX_CONCURRENT_COPIES = 2
#: Pause between two passes over the runs of an endpoint, in seconds.
PASS_PAUSE_SECONDS = 0.1
#: Age at which a copy is refreshed, in seconds; it expires at a few times that
#: age.
REFRESH_SECONDS = 1.5


@dataclass(slots=True)
class RunCopier:
    """Makes and refreshes copies of the runs of endpoints that leave."""

    platform_adapter: PlatformAdapter
    placement: HubPlacement
    loads: LoadTracker
    run_registry: RunRegistry
    clock: Clock
    instruments: Instruments
    cleaner: CopyCleaner
    paths: EndpointPaths
    copy_calls: CopyCalls

    async def copy_until_ended(self, endpoint: Endpoint) -> None:
        """Copy the runs of a leaving endpoint until none is left there.

        Requests that were sent before the announcement may still begin to run.
        """
        while self.loads.has_request_at(endpoint.identity):
            runs = [
                run
                for run in self.run_registry.at(endpoint)
                if self.needs_copy(run)
            ]
            ordered = order_copies(runs, Run.tokens)
            async with curio.TaskGroup() as group:
                for offset in range(MAX_CONCURRENT_COPIES):
                    await group.spawn(
                        self.copy_all, ordered[offset::MAX_CONCURRENT_COPIES]
                    )
            await curio.sleep(PASS_PAUSE_SECONDS)

    def needs_copy(self, run: Run) -> bool:
        """Return whether the run lacks a recent copy that is worth its cost."""
        engine = run.job.service.engine
        if engine is None or not engine.can_copy_runs:
            return False
        if run.ended or run.is_interrupted:
            return False
        if run.backup is not None and self.may_hold_copy(run.backup):
            return False
        if run.copy is not None and self.may_hold_copy(run.copy.holder):
            return self.clock() - run.copied_at > REFRESH_SECONDS
        return run.remaining_tokens() > MAX_UNCOPIED_TOKENS

    def may_hold_copy(self, holder: Endpoint) -> bool:
        """Return whether the endpoint with a copy may continue its run."""
        return self.placement.endpoint_selector.platform_state.may_hold_copy(
            holder
        )

    async def copy_all(self, runs: list[Run]) -> None:
        """Copy runs one after the other."""
        for run in runs:
            await self.copy(run)

    async def copy(self, run: Run) -> None:
        """Copy a run, or refresh its copy.

        A run whose stream is lost is not copied: it is to be stopped, which a
        copy would hold up.
        """
        source = run.current_endpoint
        holder = await self.choose_holder(run)
        if (
            run.ended
            or run.is_interrupted
            or run.current_endpoint is not source
        ):
            return
        if holder is None:
            self.log(run, None, 0, 'no other endpoint has room')
            return
        load = self.loads.begin(
            RequestLoad(holder.identity, run.tokens(), lent=True)
        )
        await self.loads.changed.set()
        started_at = self.clock()
        async with self.copy_calls.during(run.job, source):
            copied = await self.platform_adapter.copy_run(
                self.paths.connect,
                source.record.address,
                run.job.attempt,
                holder.record.address,
                last=False,
            )
        done = isinstance(copied, Success)
        detail = '' if done else copied.failure().message
        self.log(run, holder, self.clock() - started_at, detail)
        if not done:
            run.failed_holders.add(holder.identity)
            self.loads.end(load)
            return
        made = RunCopy(copied.unwrap(), holder, load)
        if run.ended or run.current_endpoint is not source:
            self.loads.end(load)
            await self.cleaner.discard(run, made)
            return
        await self.replace_copy(run, made)
        run.copied_at = started_at

    async def replace_copy(self, run: Run, made: RunCopy) -> None:
        """Replace the copy of a run and free the former, if they differ."""
        previous = run.copy
        run.copy = made
        if previous is not None:
            self.loads.end(previous.load)
            if previous.copied != made.copied:
                await self.cleaner.discard(run, previous)

    def log(
        self, run: Run, holder: Endpoint | None, seconds: float, detail: str
    ) -> None:
        """Count and log a copy; an empty detail stands for success."""
        self.instruments.record_copy(run.job.service.name, done=not detail)
        log_event(
            Event.RUN_NOT_COPIED if detail else Event.RUN_COPIED,
            attempt=run.job.attempt,
            source=run.current_endpoint.identity,
            holder=holder.identity if holder else None,
            tokens=int(run.tokens()),
            seconds=round(seconds, 3),
            detail=detail,
        )

    async def choose_holder(self, run: Run) -> Endpoint | None:
        """Return the endpoint for a run's copy, the previous one if possible.

        Endpoints to which a copy failed are tried again after all others.
        """
        if run.copy is not None and self.may_hold_copy(run.copy.holder):
            return run.copy.holder
        found = await self.placement.place_copy(
            run.job,
            run.tokens(),
            run.current_endpoint,
            run.failed_holders,
            backup=False,
        )
        if found is None:
            run.failed_holders.clear()
        return found
