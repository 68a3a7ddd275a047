"""A request to an endpoint to stop a run, and what its replies say.

What each reply says, and who else may say that a run has ended, is in
docs/design/run-stops.md.
"""

from dataclasses import dataclass, field
from math import inf

import curio
from returns.result import Result, Success

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.copies import CopyCalls
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.runs import Run
from turmericyard_ports.endpoint import CopiedRun, CopyError, CopyFailure

#: Time without a reply after which the endpoint has stopped the run and copies
#: it, or is out of reach, in seconds: some round trips between zones.
REPLY_SECONDS = 0.05
#: The same for an endpoint whose last reply was that it works on the run.
CONFIRMATION_SECONDS = 0.2
#: The same while this node has the run copied: an endpoint that is silent for a
#: moment would refuse to stop the run after it.
COPY_REPLY_SECONDS = 2.0
#: Labels under which stops are counted and logged.
STOPPED = 'stopped'
NOT_RUNNING = 'not running'
NO_REPLY = 'no reply'
STILL_RUNNING = 'still running'
#: Failures after which the endpoint does not work on the run.
RUN_ENDED = frozenset((CopyFailure.NO_RUN, CopyFailure.REFUSED))
#: Failures without memory that is kept, after which it works on the run.
RUN_GOES_ON = frozenset((CopyFailure.UNDER_WAY, CopyFailure.NO_ROOM))


@dataclass(slots=True, eq=False)
class RunStop:
    """A run that an endpoint is asked to stop.

    An endpoint stops a run for the last copy of its memory, to `holder`. `run`
    is the run that is to go on elsewhere, None where a request begins anew.
    """

    job: Job
    endpoint: Endpoint
    run: Run | None
    copy_calls: CopyCalls
    clock: Clock
    began_at: float
    holder: Endpoint | None = None
    #: Whether the run may go on from the copy, which is then not freed.
    keeps_copy: bool = False
    #: How often the endpoint was asked to stop the run.
    tries: int = 0
    #: How often it replied that it works on the run.
    refusals: int = 0
    #: Whether it said so in its last reply.
    goes_on: bool = False
    #: When it was asked for the first time since then; None before.
    unanswered_since: float | None = None
    outcome: str = NO_REPLY
    #: The memory of the run at `holder`, or what the endpoint itself keeps.
    copied: CopiedRun | None = None
    kept: CopiedRun | None = None
    #: Whether a client waits for the stop.
    is_awaited: bool = False
    #: Set when the endpoint is asked, and when it replies.
    changed: curio.Event = field(default_factory=curio.Event)
    #: Set when the endpoint has stopped, or is not asked any more.
    ended: curio.Event = field(default_factory=curio.Event)

    @property
    def has_stopped(self) -> bool:
        """Return whether a reply shows that the endpoint does not run it."""
        return self.outcome in {STOPPED, NOT_RUNNING}

    async def wait(self, until: float) -> bool:
        """Return whether the run may go on at another endpoint.

        Waits for as long as the endpoint says that it works on the run, up to
        `until` on the node's clock, in seconds.
        """
        self.is_awaited = True
        try:
            may_go_on = await self.wait_for_reply(
                min(until, self.job.deadline_at)
            )
        finally:
            self.is_awaited = False
        if not may_go_on:
            self.job.running_at.add(self.endpoint.identity)
        return may_go_on

    async def wait_for_reply(self, until: float) -> bool:
        """Return whether the run may go on, as `wait` does."""
        while not self.ended.is_set():
            now = self.clock()
            silent_at = self.silent_at()
            if now >= silent_at:
                return True
            if self.goes_on and now >= until:
                break
            wakes_at = min(silent_at, until) if self.goes_on else silent_at
            self.changed.clear()
            async with curio.ignore_after(wakes_at - now):
                await self.changed.wait()
        return self.has_stopped or not self.goes_on

    def silent_at(self) -> float:
        """Return when the lack of a reply shows that the run may go on."""
        if self.unanswered_since is None:
            return inf
        if self.copy_calls.is_under_way(self.job, self.endpoint):
            return self.unanswered_since + COPY_REPLY_SECONDS
        if self.goes_on:
            return self.unanswered_since + CONFIRMATION_SECONDS
        return self.unanswered_since + REPLY_SECONDS

    async def record_request(self) -> None:
        """Record that the endpoint is asked now."""
        self.tries += 1
        if self.unanswered_since is None:
            self.unanswered_since = self.clock()
        await self.changed.set()

    async def record_reply(self, reply: Result[CopiedRun, CopyError]) -> None:
        """Record what the endpoint replied, or that there is no reply."""
        if isinstance(reply, Success):
            self.copied = reply.unwrap()
            self.outcome = STOPPED
        else:
            self.record_failure(reply.failure())
        await self.changed.set()

    def record_failure(self, error: CopyError) -> None:
        """Record that no copy was made, and why."""
        self.kept = error.kept
        if self.kept is not None:
            self.outcome = STOPPED
        elif error.failure in RUN_ENDED:
            self.outcome = NOT_RUNNING
        elif error.failure in RUN_GOES_ON:
            self.outcome = STILL_RUNNING
            self.refusals += 1
            self.goes_on = True
            self.unanswered_since = None

    async def end(self) -> None:
        """Let the run go on, or end, without further requests."""
        if self.has_stopped:
            self.job.unstopped_endpoints.discard(self.endpoint.identity)
            self.job.running_at.discard(self.endpoint.identity)
        await self.ended.set()
        await self.changed.set()

    def unused_memory(self) -> CopiedRun | None:
        """Return the memory that nothing can use, None if there is none."""
        return None if self.keeps_copy else self.copied or self.kept
