"""Runs of the experiments, in parallel processes when several are allowed."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields

from turmericyard_bench.engine.shape import EngineShape
from turmericyard_bench.experiments.baselines import (
    LeastOutstanding,
    PowerOfTwo,
    RoundRobin,
)
from turmericyard_bench.experiments.deployments import DEPLOYMENTS
from turmericyard_bench.experiments.engine_state import (
    EngineState,
    create_engine_state,
)
from turmericyard_bench.experiments.mechanisms import Mechanisms
from turmericyard_bench.experiments.oracle import Oracle
from turmericyard_bench.experiments.policy import Policy
from turmericyard_bench.experiments.product_policy import ProductPolicy
from turmericyard_bench.experiments.scenario import SCENARIOS
from turmericyard_bench.experiments.simulation import (
    Simulation,
    create_engines,
)
from turmericyard_bench.experiments.summary import Summary, summarize
from turmericyard_bench.experiments.workload import Deployment, draw_jobs
from turmericyard_bench.workers import map_in_workers

OWN = 'own'
ORACLE = 'oracle'
LEAST_OUTSTANDING = 'least-outstanding'
BASELINES: dict[str, Callable[[], Policy]] = {
    'round-robin': RoundRobin,
    LEAST_OUTSTANDING: LeastOutstanding,
    'power-of-two': PowerOfTwo,
}
POLICIES = (*BASELINES, OWN, ORACLE)
MECHANISMS = tuple(mechanism.name for mechanism in fields(Mechanisms))


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Parameters of one run.

    `disabled_mechanism` is empty when all are on; a `tail_weight` of None
    stands for the deployment's.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    disabled_mechanism: str = ''
    tail_weight: float | None = None


def create_policy(spec: RunSpec, shape: EngineShape) -> Policy:
    """Return the policy of a run."""
    baseline = BASELINES.get(spec.policy)
    if baseline is not None:
        return baseline()
    deployment = DEPLOYMENTS[spec.deployment]
    mechanisms = Mechanisms(
        **({spec.disabled_mechanism: False} if spec.disabled_mechanism else {})
    )
    weight = spec.tail_weight
    create = Oracle if spec.policy == ORACLE else ProductPolicy
    return create(
        deployment,
        create_states(deployment, shape, mechanisms),
        mechanisms,
        deployment.tail_weight if weight is None else weight,
    )


def create_states(
    deployment: Deployment,
    shape: EngineShape,
    mechanisms: Mechanisms,
) -> dict[str, EngineState]:
    """Return the owner's initial state of each engine."""
    states = {}
    for number in range(deployment.engines):
        state = create_engine_state(
            shape.cold_limit,
            shape.limit,
            shape.memory_tokens,
        )
        state.corrects_load = mechanisms.corrected_load
        state.forecasts_memory = mechanisms.memory_forecast
        state.limits_cold_load = mechanisms.warmth
        state.uses_relayed_progress = mechanisms.relayed_progress
        states[f'e{number}'] = state
    return states


def run_one(spec: RunSpec) -> Summary:
    """Make one run; the same spec gives the same figures every time."""
    scenario = SCENARIOS[spec.scenario]
    deployment = DEPLOYMENTS[spec.deployment]
    shape = EngineShape()
    arrivals = scenario.arrivals(deployment)
    simulation = Simulation(
        create_engines(deployment.engines, deployment.zones, shape),
        create_policy(spec, shape),
        draw_jobs(deployment, arrivals, spec.seed),
        scenario.actions(deployment),
    )
    simulation.record.measured_from = scenario.measured_from
    return summarize(simulation.run(scenario.seconds), scenario)


def run_all(specs: Sequence[RunSpec], processes: int) -> list[Summary]:
    """Make the runs in up to `processes` processes; keep their order."""
    if processes == 1:
        return [run_one(spec) for spec in specs]
    return map_in_workers(run_one, specs, processes)
