"""A request to an endpoint to stop a run, and what its replies say."""

from dataclasses import dataclass, field

import curio
from returns.result import Result, Success

from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_ports.endpoint import CopiedRun, CopyError, CopyFailure

#: Time for which a run waits for the reply before it goes on elsewhere, in
#: seconds: some round trips between zones. A reply that comes later is that of
#: an endpoint which has stopped and copies the run, or of none.
REPLY_SECONDS = 0.05
#: The same while the endpoint works on the run until another copy is made.
COPY_SECONDS = 2.0
#: Labels under which stops are counted and logged.
STOPPED = 'stopped'
NOT_RUNNING = 'not running'
NO_REPLY = 'no reply'
#: Failures after which the endpoint does not work on the run.
RUN_ENDED = frozenset((CopyFailure.NO_RUN, CopyFailure.REFUSED))


@dataclass(slots=True, eq=False)
class RunStop:
    """A run that an endpoint is asked to stop.

    An endpoint stops a run for the last copy of its memory, to `holder`.
    """

    job: Job
    endpoint: Endpoint
    holder: Endpoint
    #: Whether the run may go on from the copy, which is then not freed.
    keeps_copy: bool
    began_at: float
    #: How often the endpoint was asked to stop the run.
    tries: int = 0
    #: Whether the last reply was that the run goes on until a copy is made.
    is_being_copied: bool = False
    outcome: str = NO_REPLY
    #: The memory of the run at `holder`, or what the endpoint itself keeps.
    copied: CopiedRun | None = None
    kept: CopiedRun | None = None
    #: Set when the endpoint has stopped, or is not asked any more.
    ended: curio.Event = field(default_factory=curio.Event)

    async def wait(self) -> None:
        """Wait until the run may go on at another endpoint."""
        async with curio.ignore_after(REPLY_SECONDS):
            await self.ended.wait()
        if self.is_being_copied:
            async with curio.ignore_after(COPY_SECONDS):
                await self.ended.wait()

    def record_reply(self, reply: Result[CopiedRun, CopyError]) -> bool:
        """Record a reply; return whether the endpoint does not run it now."""
        self.tries += 1
        if isinstance(reply, Success):
            self.copied = reply.unwrap()
            self.outcome = STOPPED
            return True
        error = reply.failure()
        self.kept = error.kept
        self.is_being_copied = error.failure is CopyFailure.UNDER_WAY
        if self.kept is not None:
            self.outcome = STOPPED
        elif error.failure in RUN_ENDED:
            self.outcome = NOT_RUNNING
        return self.outcome != NO_REPLY

    def unused_memory(self) -> CopiedRun | None:
        """Return the memory that nothing can use, None if there is none."""
        return None if self.keeps_copy else self.copied or self.kept
