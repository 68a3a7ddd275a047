"""Runs calls and streams that may be hedged."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from turmericyard_http.answer_writer import Answer
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.hedging.call_contest import CallContest
from turmericyard_node.forwarding.hedging.hedged_request import run_hedged
from turmericyard_node.forwarding.hedging.hedger import Hedger, create_hedger
from turmericyard_node.forwarding.hedging.stream_contest import (
    StreamContest,
)
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.runs import Run
from turmericyard_node.forwarding.sending import MayHaveRun, NotRun, Sender
from turmericyard_node.forwarding.waiting import WaitingRoom

if TYPE_CHECKING:
    from turmericyard_node.forwarding.calls import CallForwarder
    from turmericyard_node.forwarding.streams import StreamForwarder


@dataclass(frozen=True, slots=True)
class Hedging:
    """Hedges the requests of one node."""

    hedger: Hedger

    def applies(self, job: Job) -> bool:
        """Return whether a request may ever be hedged."""
        return self.hedger.applies(job)

    async def run_call(
        self,
        calls: 'CallForwarder',
        job: Job,
        endpoint: Endpoint,
        earlier_runs: int,
        limit: float,
    ) -> list[Answer | NotRun | MayHaveRun]:
        """Return the outcomes of a call, the one that is passed on last."""
        contest = CallContest(calls, job, earlier_runs, limit)
        return await run_hedged(self.hedger, job, endpoint, contest)

    async def run_stream(
        self, streams: 'StreamForwarder', job: Job, endpoint: Endpoint
    ) -> Run | Answer | NotRun:
        """Return the outcome of a stream that is passed on."""
        contest = StreamContest(streams, job, job.run_count)
        outcomes = await run_hedged(self.hedger, job, endpoint, contest)
        ran = [each for each in outcomes if not isinstance(each, NotRun)]
        return (ran or outcomes)[-1]


def create_hedging(
    share: float, sender: Sender, room: WaitingRoom, tasks: BackgroundTasks
) -> Hedging:
    """Return the hedging of a node for a share of its requests."""
    return Hedging(create_hedger(share, sender, room, tasks))
