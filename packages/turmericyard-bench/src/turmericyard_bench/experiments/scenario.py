"""Scenarios of the experiments, read from a settings file."""

from collections.abc import Iterator
from configparser import ConfigParser
from dataclasses import dataclass
from functools import partial
from importlib.resources import files

from pydantic import TypeAdapter

from turmericyard_bench.experiments.simulation import Action, Simulation
from turmericyard_bench.experiments.workload import Arrivals, Deployment

NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class Scenario:
    """A workload and the events during it; times in seconds.

    `load_share` and `flood_share` are shares of the saturation. A zone goes
    out of service at `zone_out_at` and returns at `zone_back_at`, cold if
    `returns_cold`.
    """

    name: str
    load_share: float
    seconds: float
    measured_from: float
    burst_factor: float = 1
    shift_at: float = NEVER
    shift_factor: float = 1
    flood_share: float = 0
    arrivals_until: float = NEVER
    only_urgent: bool = False
    returns_cold: bool = False
    zone_out_at: float = NEVER
    zone_back_at: float = NEVER
    cold_at: float = NEVER

    def arrivals(self, deployment: Deployment) -> Arrivals:
        """Return the arrivals of requests for a deployment."""
        saturation = deployment.saturation
        flood_rate = self.flood_share * saturation / deployment.mean_tokens()
        urgent = tuple(
            product.name
            for product in deployment.products
            if product.priority == 0
        )
        return Arrivals(
            tokens_per_second=self.load_share * saturation,
            seconds=min(self.seconds, self.arrivals_until),
            burst_factor=self.burst_factor,
            shift_at=self.shift_at,
            shift_factor=self.shift_factor,
            flood_rate=flood_rate,
            products=urgent if self.only_urgent else (),
        )

    def actions(self, deployment: Deployment) -> Iterator[tuple[float, Action]]:
        """Yield the events of the engines with their times."""
        if self.zone_out_at < NEVER:
            zone = deployment.zones[0]
            yield self.zone_out_at, partial(remove_zone, zone)
            yield (
                self.zone_back_at,
                partial(
                    restore_zone,
                    zone,
                    self.returns_cold,
                ),
            )
        if self.cold_at < NEVER:
            yield self.cold_at, turn_all_cold


def remove_zone(zone: str, simulation: Simulation, now: float) -> None:
    """Take a zone out of service."""
    for engine in simulation.engines.values():
        if engine.zone == zone:
            engine.in_service = False
    simulation.tick(now)


def restore_zone(
    zone: str,
    cold: bool,
    simulation: Simulation,
    now: float,
) -> None:
    """Put a zone back into service, with cold engines if `cold`."""
    for engine in simulation.engines.values():
        if engine.zone == zone:
            engine.in_service = True
            if cold:
                engine.model.turn_cold(now)
    simulation.tick(now)


def turn_all_cold(simulation: Simulation, now: float) -> None:
    """Turn all engines cold at the same time."""
    for engine in simulation.engines.values():
        engine.model.turn_cold(now)


def read_scenarios() -> dict[str, Scenario]:
    """Return the scenarios of the settings file by name."""
    parser = ConfigParser()
    folder = files('turmericyard_bench.experiments')
    parser.read_string((folder / 'scenarios.ini').read_text('utf-8'))
    adapter = TypeAdapter(Scenario)
    return {
        name: adapter.validate_python({'name': name, **parser[name]})
        for name in parser.sections()
    }


SCENARIOS = read_scenarios()
