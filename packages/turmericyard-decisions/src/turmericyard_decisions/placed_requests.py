"""Counts the requests that a node has placed, for any node, and that still run."""

from dataclasses import dataclass, field

#: Time after which a request counts as ended whose node has not said so, in
#: seconds: most calls take a fraction of it.
EXPIRY_SECONDS = 2.0


@dataclass(slots=True)
class PlacedRequests:
    """The placed requests by endpoint, each with the time of its expiry."""

    placed: dict[str, dict[str, float]] = field(default_factory=dict)

    def begin(self, identity: str, attempt: str, now: float) -> None:
        """Count a request from now on."""
        found = self.placed.setdefault(identity, {})
        found.pop(attempt, None)
        found[attempt] = now + EXPIRY_SECONDS

    def end(self, identity: str, attempt: str) -> None:
        """Count a request no more; one that is not known is ignored."""
        found = self.placed.get(identity, {})
        found.pop(attempt, None)
        if not found:
            self.placed.pop(identity, None)

    def count(self, identity: str, now: float) -> int:
        """Return how many placed requests an endpoint has now."""
        found = self.placed.get(identity, {})
        for attempt, expires_at in tuple(found.items()):
            if expires_at > now:
                break
            self.end(identity, attempt)
        return len(found)
