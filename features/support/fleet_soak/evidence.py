"""What was seen of one soak, and how checks tell of it."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from support.fleet_soak.load import Asked, Clients
from support.fleet_soak.stage import Stage


@dataclass
class Evidence:
    """All that was seen of one soak; `recovered` in seconds by node."""

    stage: Stage
    clients: Clients
    recovered: dict[str, float]

    @property
    def sent(self) -> list[Asked]:
        return [asked for asked in self.clients.asked if asked.sent]


Check = Callable[[Evidence], Iterator[str]]


def run_count(evidence: Evidence, kind: str) -> Counter[str]:
    """Return how often each attempt of a kind began to run."""
    found: Counter[str] = Counter()
    for runner in evidence.stage.world.runners.values():
        found.update(runner.begun if kind == 'stream' else runner.ran)
    return found


def told(asked: Asked) -> str:
    answer = asked.answer
    state = 'whole' if answer.whole else f'not whole {answer.error}'
    return (
        f'{asked.attempt} {asked.target} at {asked.node}: {answer.status} '
        f'{state} after {asked.ended - asked.began:.2f} s '
        f'(began at {asked.began:.2f})'
    )
