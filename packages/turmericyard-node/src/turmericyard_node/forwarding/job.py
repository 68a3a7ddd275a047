"""A client request that the node forwards."""

from dataclasses import dataclass, field

from turmericyard_decisions.strikes import Strike
from turmericyard_node.forwarding.rollout.rollouts import VersionDraw
from turmericyard_ports.configuration import Route, Service
from turmericyard_ports.request import IncomingRequest

#: Expected share of the maximum output, for callers that give no estimate.
EXPECTED_OUTPUT_SHARE = 0.4
#: Time without a complete event after which a stream is continued at another
#: endpoint, if one can continue it, in seconds. A failure has to be complete
#: within the same time.
SILENCE_SECONDS = 5.0
#: The same for a stream that no other endpoint can continue, as a multiple of
#: the latency target: clients abandon a stream after a gap of that length.
SILENCE_LATENCY_TARGETS = 4
#: Lowest urgency that endpoints distinguish; 0 is served first.
LOWEST_URGENCY = 9
#: Priorities of routes within one priority of workspaces.
ROUTE_PRIORITIES = 3


@dataclass(slots=True, eq=False)
class Job:
    """An admitted request, its route and its service.

    `deadline_at` is the earlier of the client's deadline and the time limit of
    the route.
    """

    incoming: IncomingRequest
    route: Route
    service: Service
    workspace: str | None
    #: Priorities of the workspace, 0 without one, and of the route.
    priority: tuple[int, int]
    deadline_at: float
    #: Digest that the request shares with its retries by the same caller.
    mark: bytes = b''
    #: Digests of the parts of its prompt that other requests may share.
    part_marks: tuple[bytes, ...] = ()
    #: Identities of endpoints to which this request is not sent again.
    excluded_endpoints: set[str] = field(default_factory=set)
    #: Identities of endpoints that may still work on it, though it went on at
    #: another one.
    unstopped_endpoints: set[str] = field(default_factory=set)
    #: Identities of endpoints that say that they work on it and cannot be
    #: stopped: it goes on nowhere else.
    running_at: set[str] = field(default_factory=set)
    #: How often it was sent, also to endpoints that did not run it.
    send_count: int = 0
    #: How many endpoints may have begun to run it anew.
    run_count: int = 0
    #: Id of the last event that the client has, '' at the start of a stream.
    resume_after: str = ''
    #: The node that placed it, for itself or as a hub, by endpoint.
    placed_by: dict[str, str] = field(default_factory=dict)
    #: The endpoint at which the queue of that node placed it, '' for none.
    queue_place: str = ''
    #: Its broken answers of which it is not known whether the endpoint crashed.
    unexplained_breaks: int = 0
    #: The strikes against its marks when it was sent last.
    strikes_at_send: tuple[Strike, ...] = ()
    #: The version that it goes to while one is rolled out.
    version_draw: VersionDraw = field(default_factory=VersionDraw)

    @property
    def marks(self) -> tuple[bytes, ...]:
        """Return the marks of the request and of the parts of its prompt."""
        return (self.mark, *self.part_marks)

    @property
    def attempt(self) -> str:
        """Return the id of the client's attempt."""
        return self.incoming.attempt

    @property
    def urgency(self) -> int:
        """Return the urgency that is sent to endpoints, 0 to `LOWEST_URGENCY`."""
        workspace, route = self.priority
        return min(max(ROUTE_PRIORITIES * workspace + route, 0), LOWEST_URGENCY)

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline, never negative."""
        return max(0, self.deadline_at - now)

    def may_run_again(self) -> bool:
        """Return whether one more endpoint may run the request."""
        return (
            self.route.may_repeat
            and self.run_count < self.route.attempts
            and not self.running_at
        )

    @property
    def patience_seconds(self) -> float:
        """Return the longest gap in its stream for which its client waits."""
        target = self.route.latency_target_seconds
        return max(SILENCE_SECONDS, SILENCE_LATENCY_TARGETS * target)

    def expected_output(self) -> float:
        """Return the expected output of a generation, in tokens."""
        prompt = self.incoming.prompt
        if prompt is None:
            return 0
        if prompt.expected_output is not None:
            return min(prompt.expected_output, prompt.max_output)
        return EXPECTED_OUTPUT_SHARE * prompt.max_output

    def prompt_tokens(self) -> float:
        """Return the tokens of the prompt, 0 for plain calls."""
        prompt = self.incoming.prompt
        return prompt.tokens if prompt else 0

    def memory_tokens(self) -> float:
        """Return the expected memory of a generation, in tokens."""
        return self.prompt_tokens() + self.expected_output()
