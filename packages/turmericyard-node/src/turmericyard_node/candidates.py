"""Candidates: the load and state of endpoints as this node estimates them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from turmericyard_decisions.placement import Candidate, Demand, Obstacle
from turmericyard_decisions.prefix_index import PrefixIndex
from turmericyard_node.leaving_vms import LeavingVms
from turmericyard_node.work import Work
from turmericyard_protocol.messages import EndpointLoad
from turmericyard_tables.models import Configuration, Endpoint, Pool

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Age at which a load estimate is ignored.
ESTIMATE_TTL_SECONDS = 1.5
PREFIX_TOKENS = 64


@dataclass(slots=True)
class LoadEstimate:
    """The load that an owner last reported, and permits requested since then.

    `reported_at` and `deferred_until` are in seconds of the boot clock; no
    permit is requested before `deferred_until`.
    """

    load: EndpointLoad
    reported_at: float
    requested: int = 0
    deferred_until: float = 0


@dataclass(slots=True)
class CandidateTable:
    """Load estimates by endpoint, leaving VMs and cached prefixes."""

    application: 'Application'
    estimates: dict[str, LoadEstimate] = field(default_factory=dict)
    leaving_vms: LeavingVms = field(default_factory=LeavingVms)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    random: Random = field(default_factory=Random)
    endpoints_by_pool: dict[str, list[Endpoint]] = field(default_factory=dict)

    async def observe_configuration(self, configuration: Configuration) -> None:
        """Replace the endpoints of each pool by those of a configuration."""
        self.endpoints_by_pool = group_by_pool(configuration)

    def find(self, work: Work, now: float) -> list[Candidate]:
        """Return the candidates of the first pool that has a free one.

        Without a free one, those of all pools of the route are returned. When
        none of them can take the work later either, the endpoints that failed
        it may be tried again.
        """
        configuration = self.application.configuration.current
        found: list[Candidate] = []
        for name in work.route.pools:
            pool = configuration.pools.get(name)
            if pool is None or work.route.product not in pool.products:
                continue
            in_pool = [
                self.candidate(endpoint, pool, work, now)
                for endpoint in self.endpoints_by_pool.get(name, ())
            ]
            found.extend(in_pool)
            if any(is_free(candidate) for candidate in in_pool):
                return in_pool
        if not any(map(may_be_placed_later, found)):
            work.excluded_endpoints.clear()
        return found

    def candidate(
        self, endpoint: Endpoint, pool: Pool, work: Work, now: float
    ) -> Candidate:
        """Return one endpoint as a candidate for the work."""
        estimate = self.current_estimate(endpoint.name, pool, now)
        cached = self.prefixes.holds(endpoint.name, work.prefix, now)
        return Candidate(
            endpoint.name,
            endpoint.zone,
            estimate.load.bound,
            estimate.load.running + estimate.requested,
            pool.memory_tokens,
            estimate.load.headroom,
            min(len(work.prompt), PREFIX_TOKENS) if cached else 0,
            self.obstacle(endpoint, work, estimate, now),
        )

    def current_estimate(
        self, endpoint: str, pool: Pool, now: float
    ) -> LoadEstimate:
        """Return the estimate of an endpoint.

        Without a recent one, the endpoint is taken to be idle and cold.
        """
        estimate = self.estimates.get(endpoint)
        if (
            estimate is None
            or now - estimate.reported_at > ESTIMATE_TTL_SECONDS
        ):
            load = EndpointLoad(pool.cold_limit, 0, pool.memory_tokens)
            estimate = LoadEstimate(
                load, now, estimate.requested if estimate else 0
            )
            estimate.load = EndpointLoad(
                pool.cold_limit + estimate.requested, 0, pool.memory_tokens
            )
        return estimate

    def obstacle(
        self, endpoint: Endpoint, work: Work, estimate: LoadEstimate, now: float
    ) -> Obstacle | None:
        """Return why the endpoint may not be chosen; None if it may.

        Its load is not considered.
        """
        configuration = self.application.configuration.current
        if not configuration.in_service(endpoint):
            return Obstacle.OUT_OF_SERVICE
        if endpoint.vm in self.leaving_vms:
            return Obstacle.LEAVING
        if endpoint.name in work.excluded_endpoints:
            return Obstacle.FAILED_BEFORE
        if estimate.deferred_until > now:
            return Obstacle.NO_CAPACITY
        return None

    def demand(self, work: Work) -> Demand:
        """Return what the work needs from an endpoint."""
        return Demand(
            self.application.settings.node.zone,
            len(work.prompt),
            work.expected_tokens,
            work.route.tail_weight,
            urgent=work.route.priority == 0,
        )

    def tie_breakers(self, candidates: Iterable[Candidate]) -> dict[str, float]:
        """Return a random tie-breaker for each candidate."""
        return {each.endpoint: self.random.random() for each in candidates}

    def count_request(self, endpoint: str) -> None:
        """Count a permit request that is under way."""
        estimate = self.estimates.get(endpoint)
        if estimate is not None:
            estimate.requested += 1

    def observe_answer(
        self, endpoint: str, load: EndpointLoad, now: float
    ) -> None:
        """Record the load in the owner's answer to a permit request."""
        known = self.estimates.get(endpoint)
        requested = max(known.requested - 1, 0) if known else 0
        self.estimates[endpoint] = LoadEstimate(load, now, requested)

    def observe_free(
        self, endpoint: str, load: EndpointLoad, now: float
    ) -> None:
        """Record the load of an endpoint that has free capacity again."""
        known = self.estimates.get(endpoint)
        self.estimates[endpoint] = LoadEstimate(
            load, now, known.requested if known else 0
        )

    def defer(self, endpoint: str, until: float) -> None:
        """Request no permit for the endpoint before a time."""
        self.estimates[endpoint].deferred_until = until

    def known(self) -> Iterator[tuple[str, LoadEstimate]]:
        """Return all endpoints with their estimates."""
        return iter(self.estimates.items())


def group_by_pool(configuration: Configuration) -> dict[str, list[Endpoint]]:
    """Return the endpoints of each pool."""
    grouped: dict[str, list[Endpoint]] = {}
    for endpoint in configuration.endpoints.values():
        grouped.setdefault(endpoint.pool, []).append(endpoint)
    return grouped


def is_free(candidate: Candidate) -> bool:
    """Return whether the candidate has free capacity and no obstacle."""
    return candidate.obstacle is None and candidate.running < candidate.capacity


def may_be_placed_later(candidate: Candidate) -> bool:
    """Return whether the candidate has no obstacle but a lack of capacity."""
    return candidate.obstacle in {None, Obstacle.NO_CAPACITY}
