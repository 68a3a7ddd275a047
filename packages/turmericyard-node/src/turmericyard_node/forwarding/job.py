"""One request on its way through the node."""

from dataclasses import dataclass, field
from functools import partial

from turmericyard_decisions.strikes import Strike
from turmericyard_ports.configuration import Route, Service
from turmericyard_ports.request import Arrival

#: Share of the most output tokens taken where a caller gives no estimate.
LIKELY_SHARE = 0.4
#: Urgencies that endpoints tell apart; 0 is served first.
LAST_URGENCY = 9
#: Ranks of routes within one rank of workspaces.
ROUTE_RANKS = 3


@dataclass(slots=True, eq=False)
class Job:
    """A request with its route; `deadline_at` also keeps the route's limit."""

    arrival: Arrival
    route: Route
    service: Service
    workspace: str | None
    #: Ranks of the workspace, where it has one, and of the route.
    priority: tuple[int, int]
    deadline_at: float
    #: What the request has in common with its repeats by the same caller.
    mark: bytes = b''
    #: Identities of endpoints that this request does not go to again.
    excluded: set[str] = field(default_factory=set)
    #: Sends of this request to endpoints, also those that did not run it.
    sends: int = 0
    #: Answers to it that broke off.
    broken: int = 0
    #: What was known against it when it was sent last.
    sent_with: Strike = field(default_factory=partial(Strike, b''))

    @property
    def attempt(self) -> str:
        """Return the id of the client's attempt."""
        return self.arrival.attempt

    @property
    def urgency(self) -> int:
        """Return the urgency towards endpoints."""
        workspace, route = self.priority
        return min(max(ROUTE_RANKS * workspace + route, 0), LAST_URGENCY)

    def seconds_left(self, now: float) -> float:
        """Return the time until the request is given up, never negative."""
        return max(0, self.deadline_at - now)

    def likely_output(self) -> float:
        """Return the expected output of a generation, in tokens."""
        prompt = self.arrival.prompt
        if prompt is None:
            return 0
        if prompt.likely_output is not None:
            return min(prompt.likely_output, prompt.max_output)
        return LIKELY_SHARE * prompt.max_output

    def prompt_tokens(self) -> float:
        """Return the tokens of the prompt, 0 for plain calls."""
        prompt = self.arrival.prompt
        return prompt.tokens if prompt else 0

    def memory_tokens(self) -> float:
        """Return the forecast of the memory that a generation takes."""
        return self.prompt_tokens() + self.likely_output()
