"""News that a node found itself, and those that it tells on as a hub."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

#: How long own news are told again with each beat, in seconds: longer than a
#: change of hubs takes.
TOLD_SECONDS = 10.0

NewsT = TypeVar('NewsT')


@dataclass(slots=True)
class NewsLog(Generic[NewsT]):
    """`found` are own news with the time of each, `pending` those to tell on."""

    clock: Callable[[], float]
    found: deque[tuple[float, NewsT]] = field(default_factory=deque)
    pending: list[NewsT] = field(default_factory=list)

    def find(self, news: NewsT) -> None:
        """Take in news of this node's own."""
        self.found.append((self.clock(), news))
        self.pending.append(news)

    def pass_on(self, news: NewsT) -> None:
        """Take in what another node told."""
        self.pending.append(news)

    def lately(self) -> tuple[NewsT, ...]:
        """Return the own news that beats still tell."""
        oldest = self.clock() - TOLD_SECONDS
        while self.found and self.found[0][0] < oldest:
            self.found.popleft()
        return tuple(news for _, news in self.found)

    def take_pending(self) -> tuple[NewsT, ...]:
        """Return what has not been told on yet; it is then."""
        pending = tuple(self.pending)
        self.pending.clear()
        return pending
