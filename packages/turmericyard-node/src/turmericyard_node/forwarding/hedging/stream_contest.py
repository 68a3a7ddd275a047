"""Runs a resumable stream up to its first event, at one or two endpoints."""

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

import curio

from turmericyard_http.answer_writer import Answer
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.runs import Run
from turmericyard_node.forwarding.sending import NotRun

if TYPE_CHECKING:
    from turmericyard_node.forwarding.streams import StreamForwarder

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
SERVER_ERROR = 500
#: Errors of a connection that the endpoint has closed or reset.
DISCONNECTS = (OSError, EOFError)

Outcome = Run | Answer | NotRun


@dataclass(slots=True)
class StreamContest:
    """The runs of one stream; the first one to send an event wins.

    A second run has no backup: it takes memory for a short time only, unless it
    wins, and a resumable stream continues without a backup.
    """

    streams: 'StreamForwarder'
    job: Job
    earlier_runs: int
    limit: float = inf
    begun: int = 0

    async def attempt(self, endpoint: Endpoint) -> Outcome:
        """Begin the stream at an endpoint and wait for its first bytes."""
        self.begun += 1
        try:
            run = await self.streams.run_at(
                self.job, endpoint, with_backup=self.begun == 1
            )
        except curio.CancelledError:
            await self.streams.stream_failover.stopper.begin(self.job, endpoint)
            raise
        if isinstance(run, Run):
            return await read_first_event(self.streams, run)
        return run

    def is_good(self, outcome: Outcome) -> bool:
        """Return whether an outcome is a stream or an answer that is no failure."""
        if isinstance(outcome, NotRun):
            return False
        return isinstance(outcome, Run) or outcome.status < SERVER_ERROR

    async def discard(self, outcome: Outcome) -> None:
        """End a run that is not passed on."""
        if isinstance(outcome, Run):
            await end_unused(self.streams, outcome)

    def give_up(self, endpoint: Endpoint) -> Outcome:
        """Return the failure of a run that sent no event in time."""
        return self.streams.platform_adapter.refusal(
            GATEWAY_TIMEOUT, f'{endpoint.identity} sent no event in time'
        )


async def read_first_event(
    streams: 'StreamForwarder', run: Run
) -> Run | Answer:
    """Wait for the first bytes of a run; return a failure if none come."""
    started = False
    try:
        async with curio.timeout_after(streams.read_timeout(run)):
            run.response.read_ahead = await run.response.read()
        started = True
    except curio.TaskTimeout:
        return streams.platform_adapter.refusal(
            GATEWAY_TIMEOUT, 'the endpoint sent no event in time'
        )
    except DISCONNECTS as error:
        await streams.record_disconnect(run, error)
        return streams.platform_adapter.refusal(BAD_GATEWAY, repr(error))
    finally:
        if not started:
            await end_unused(streams, run)
    return run


async def end_unused(streams: 'StreamForwarder', run: Run) -> None:
    """End a run whose stream is not passed on."""
    streams.run_registry.end(run)
    await run.response.close()
    await streams.stream_failover.stopper.begin(run.job, run.current_endpoint)
