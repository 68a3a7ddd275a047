"""When the store answered the nodes that read it."""

import math
from dataclasses import dataclass

#: Time without an answer to any reader after which the store had an outage, in
#: seconds. Nodes whose hubs get no answers read the store themselves after 2 s;
#: no record lapses in a shorter outage.
OUTAGE_SECONDS = 2.4
#: Time after a failure, or after an outage, for which the store counts as failing,
#: in seconds.
FAILURE_SECONDS = 1.5


@dataclass(slots=True)
class StoreAnswers:
    """Answers of the store, to this node and to its hubs.

    The store may turn some nodes away while it answers others: only a time
    without any answer is an outage. `resumed_at` is when the latest one ended.
    """

    latest_at: float = -math.inf
    resumed_at: float = -math.inf

    def record(self, answered_at: float) -> None:
        """Record an answer to a node; they may arrive in any order.

        The first one shows no outage: the node may have just started.
        """
        if OUTAGE_SECONDS < answered_at - self.latest_at < math.inf:
            self.resumed_at = answered_at
        self.latest_at = max(self.latest_at, answered_at)

    def had_outage(self, now: float) -> bool:
        """Return whether there is an outage, or one has just ended."""
        if now - self.latest_at > OUTAGE_SECONDS:
            return True
        return now - self.resumed_at < FAILURE_SECONDS
