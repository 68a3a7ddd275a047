"""Choice of the endpoint for one request among the pool's candidates.

The caller's node decides by hints that the owners publish; the owner of the
endpoint makes the final decision. Each candidate that is not chosen gets a
reason, which `explain` shows.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

PREFIX_TOKEN_WEIGHT = 1.5e-4
ZONE_WEIGHT = 0.05
TIE_BREAK_WEIGHT = 0.05


class Obstacle(Enum):
    """Why a candidate is not chosen for the request."""

    OUT_OF_SERVICE = 'its zone or VM is out of service'
    LEAVING = 'its VM is leaving'
    SUSPECT_BESIDE = 'a request that died with this one runs there'
    NO_CAPACITY = 'it runs as much as its capacity'
    NO_MEMORY = 'its memory would fill mid-decode'
    STALE = 'nothing recent is known of it'
    FAILED_BEFORE = 'it already failed this request'
    COSTLIER = 'another endpoint suits the request better'


@dataclass(frozen=True, slots=True)
class Candidate:
    """Known state of an endpoint.

    `capacity` is its warm bound. `headroom` is the predicted free memory in
    tokens. `prefix_tokens` is the part of the prompt that its cache probably
    holds. `obstacle` is set when one was already found.
    """

    endpoint: str
    zone: str
    capacity: int
    running: int
    memory_tokens: int = 0
    headroom: float = 0
    prefix_tokens: int = 0
    obstacle: Obstacle | None = None


@dataclass(frozen=True, slots=True)
class Demand:
    """The request to place; `expected_tokens` is its predicted output.

    Urgent work is placed regardless of the predicted headroom: the owner
    decides.
    """

    zone: str
    prompt_tokens: int = 0
    expected_tokens: float = 0
    tail_weight: float = 0.5
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Passed:
    """A candidate that wasn't chosen, with the reason.

    `cost` is 0 when it can't take the request.
    """

    endpoint: str
    obstacle: Obstacle
    cost: float = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """The decision; `endpoint` is None when no candidate is suitable."""

    endpoint: str | None
    cost: float
    passed: tuple[Passed, ...]


def find_obstacle(candidate: Candidate, demand: Demand) -> Obstacle | None:
    """Return why the candidate can't take the request, None if it can."""
    if candidate.obstacle:
        return candidate.obstacle
    if candidate.running >= candidate.capacity:
        return Obstacle.NO_CAPACITY
    if not candidate.memory_tokens or not candidate.running:
        return None
    if demand.urgent or candidate.headroom >= demand.prompt_tokens:
        return None
    return Obstacle.NO_MEMORY


def placement_cost(
    candidate: Candidate,
    demand: Demand,
    tie_break: float = 0,
) -> float:
    """Return the cost of the candidate; the lowest cost is the best.

    The batch is weighted by the tail weight, the used memory by one minus the
    tail weight. A cached prefix reduces the cost. `tie_break` (0 to 1) decides ties
    differently on each node, so that out-of-date hints don't send the requests
    of all nodes to the same endpoint.
    """
    batch = candidate.running / max(candidate.capacity, 1)
    used_share: float = 0
    if candidate.memory_tokens:
        used_share = 1 - candidate.headroom / candidate.memory_tokens
    cost = demand.tail_weight * batch + (1 - demand.tail_weight) * used_share
    cached = min(candidate.prefix_tokens, demand.prompt_tokens)
    cost -= PREFIX_TOKEN_WEIGHT * cached
    if candidate.zone != demand.zone:
        cost += ZONE_WEIGHT
    return cost + TIE_BREAK_WEIGHT * tie_break


def choose_endpoint(
    candidates: Iterable[Candidate],
    demand: Demand,
    tie_breaks: Mapping[str, float] | None = None,
) -> Placement:
    """Return the suitable candidate with the lowest cost.

    `tie_breaks` contains a number from 0 to 1 for each endpoint. The result also
    contains why the other candidates were not chosen.
    """
    passed: list[Passed] = []
    suitable: list[tuple[float, str]] = []
    known_tie_breaks = tie_breaks or {}
    for candidate in candidates:
        obstacle = find_obstacle(candidate, demand)
        if obstacle:
            passed.append(Passed(candidate.endpoint, obstacle))
            continue
        tie_break = known_tie_breaks.get(candidate.endpoint, 0)
        cost = placement_cost(candidate, demand, tie_break)
        suitable.append((cost, candidate.endpoint))
    if not suitable:
        return Placement(None, 0, tuple(passed))
    suitable.sort()
    passed.extend(
        Passed(endpoint, Obstacle.COSTLIER, cost)
        for cost, endpoint in suitable[1:]
    )
    return Placement(suitable[0][1], suitable[0][0], tuple(passed))
