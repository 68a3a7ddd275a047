"""What each workspace was served lately, for fair shares between them."""

import math
from dataclasses import dataclass, field

#: Decay time of served tokens, in seconds. It is longer than the waits that it
#: orders, so that a burst of some seconds still counts when others wait.
SHARE_SECONDS = 10.0
#: Served tokens below which a workspace is forgotten; less than any request has.
MIN_SERVED_TOKENS = 1.0
#: Number of workspaces from which those with no recent request are removed.
MAX_WORKSPACES = 1000


@dataclass(slots=True)
class DecayedSum:
    """A sum whose amounts lose their weight with time."""

    decay_seconds: float
    total: float = 0
    at: float = 0

    def value(self, now: float) -> float:
        """Return the sum as it counts now."""
        elapsed = max(0, now - self.at)
        return self.total * math.exp(-elapsed / self.decay_seconds)

    def add(self, amount: float, now: float) -> None:
        """Add an amount, which may be negative; the sum stays at least 0."""
        self.total = max(0, self.value(now) + amount)
        self.at = max(self.at, now)


@dataclass(slots=True)
class WorkspaceShares:
    """The served tokens of each workspace, divided by its weight.

    The workspace with the least is served first. One that sends much more than
    the others waits behind them, and gets what they leave unused.
    """

    weights: dict[str, float] = field(default_factory=dict)
    served: dict[str, DecayedSum] = field(default_factory=dict)

    def charge(self, workspace: str, now: float) -> float:
        """Return the recently served tokens of a workspace by its weight."""
        served = self.served.get(workspace)
        return served.value(now) if served else 0

    def step(self, workspace: str, tokens: float) -> float:
        """Return what serving a request adds to the charge of a workspace."""
        return tokens / self.weights.get(workspace, 1)

    def record(self, workspace: str, tokens: float, now: float) -> None:
        """Count a served request; negative tokens take one back."""
        if workspace not in self.served:
            self.forget_idle(now)
            self.served[workspace] = DecayedSum(SHARE_SECONDS)
        self.served[workspace].add(self.step(workspace, tokens), now)

    def forget_idle(self, now: float) -> None:
        """Remove idle workspaces when there are many."""
        if len(self.served) < MAX_WORKSPACES:
            return
        self.served = {
            workspace: served
            for workspace, served in self.served.items()
            if served.value(now) >= MIN_SERVED_TOKENS
        }
