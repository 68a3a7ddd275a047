"""A request to an endpoint to stop a run, and what its replies say."""

from dataclasses import dataclass, field

import curio
from returns.result import Result, Success

from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_ports.endpoint import CopiedRun, CopyError, CopyFailure

#: Labels under which stops are counted and logged.
STOPPED = 'stopped'
NOT_RUNNING = 'not running'
NO_REPLY = 'no reply'
#: Failures after which the endpoint does not work on the run.
RUN_ENDED = frozenset((CopyFailure.NO_RUN, CopyFailure.REFUSED))


@dataclass(slots=True, eq=False)
class RunStop:
    """A run that an endpoint is told to stop.

    An endpoint stops a run for the last copy of its memory, to `holder`.
    """

    job: Job
    endpoint: Endpoint
    holder: Endpoint
    #: Whether the run may go on from the copy, which is then not freed.
    keeps_copy: bool
    began_at: float
    #: How often the endpoint was told.
    tries: int = 0
    #: Whether the last reply was that the run goes on until a copy is made.
    is_being_copied: bool = False
    outcome: str = NO_REPLY
    #: The memory of the run at `holder`, or what the endpoint itself keeps.
    copied: CopiedRun | None = None
    kept: CopiedRun | None = None
    #: Set when the endpoint has stopped, or is not told any more.
    ended: curio.Event = field(default_factory=curio.Event)

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
