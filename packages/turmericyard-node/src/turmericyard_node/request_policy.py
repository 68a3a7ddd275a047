"""What a node has learned of requests: lengths, strikes, retry budgets."""

from dataclasses import dataclass, field

from turmericyard_decisions.length import LengthModel
from turmericyard_decisions.quarantine import Quarantine, Verdict
from turmericyard_decisions.retry import RetryBudgets
from turmericyard_node.work import Work
from turmericyard_tables.models import Configuration

DEFAULT_STRIKE_LIMIT = 2


@dataclass(slots=True)
class RequestPolicy:
    """The models that decide on a request by past observations."""

    lengths: LengthModel = field(default_factory=LengthModel)
    quarantine: Quarantine = field(default_factory=Quarantine)
    retries: RetryBudgets = field(default_factory=RetryBudgets)

    async def observe_configuration(self, configuration: Configuration) -> None:
        """Replace the zones of the endpoints by those of a configuration."""
        self.quarantine.zones = {
            endpoint.name: endpoint.zone
            for endpoint in configuration.endpoints.values()
        }

    def quarantine_verdict(
        self, work: Work, configuration: Configuration
    ) -> Verdict:
        """Return the quarantine's verdict on the work.

        The lowest strike limit of its pools applies.
        """
        limits = [
            pool.strike_limit
            for pool in configuration.pools.values()
            if pool.name in work.route.pools
        ]
        return self.quarantine.classify(
            work.marks, min(limits, default=DEFAULT_STRIKE_LIMIT)
        )
