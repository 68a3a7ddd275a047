"""Prompt prefix cache with limited capacity, and its published events."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from turmericyard_bench.engine.shape import PREFIX_CHUNK_TOKENS

#: Number of events kept for readers; older ones appear to them as gaps.
KEPT_EVENTS = 1024
#: One event in this many is never published.
LOST_EVENT_INTERVAL = 16
TOKEN_BYTES = 4


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted at `at`, in engine clock seconds."""

    sequence: int
    kind: str
    prefix: int
    at: float


def prefix_chain(prompt: Sequence[int]) -> tuple[int, ...]:
    """Return the hash of each full-chunk prefix of a prompt, shortest first."""
    digest = xxhash.xxh64()
    chain = []
    full_chunks_end = len(prompt) - len(prompt) % PREFIX_CHUNK_TOKENS
    for start in range(0, full_chunks_end, PREFIX_CHUNK_TOKENS):
        chunk = prompt[start : start + PREFIX_CHUNK_TOKENS]
        digest.update(
            b''.join(token.to_bytes(TOKEN_BYTES, 'big') for token in chunk)
        )
        chain.append(digest.intdigest())
    return tuple(chain)


class PrefixCache:
    """Least recently used cache of prefix chains.

    A link is the hash of one prefix. Events are published only for the first
    link of a chain, `lag_seconds` late and with gaps in their sequence.
    """

    def __init__(self, capacity_tokens: int, lag_seconds: float = 1) -> None:
        self.capacity = capacity_tokens // PREFIX_CHUNK_TOKENS
        self.lag_seconds = lag_seconds
        self.links: OrderedDict[int, bool] = OrderedDict()
        self.sequence = 0
        self.events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)

    def cached_tokens(self, chain: tuple[int, ...]) -> int:
        """Return the number of leading tokens of the chain that are cached."""
        hits = 0
        for link in chain:
            if link not in self.links:
                break
            hits += 1
        self.touch(chain[:hits])
        return hits * PREFIX_CHUNK_TOKENS

    def store(self, chain: tuple[int, ...], now: float) -> None:
        """Store a chain and evict the least recently used links."""
        kept = chain[: self.capacity]
        for index, link in enumerate(kept):
            if link not in self.links:
                self.links[link] = index == 0
                if index == 0:
                    self.publish('stored', link, now)
        self.touch(kept)
        while len(self.links) > self.capacity:
            evicted, is_first = self.links.popitem(last=False)
            if is_first:
                self.publish('evicted', evicted, now)

    def clear(self, now: float) -> None:
        """Evict everything."""
        for link, is_first in self.links.items():
            if is_first:
                self.publish('evicted', link, now)
        self.links.clear()

    def touch(self, links: tuple[int, ...]) -> None:
        """Mark links as used, the first link as the most recent."""
        for link in reversed(links):
            self.links.move_to_end(link)

    def publish(self, kind: str, prefix: int, now: float) -> None:
        """Record an event; every LOST_EVENT_INTERVAL-th is omitted, as a gap."""
        self.sequence += 1
        if self.sequence % LOST_EVENT_INTERVAL:
            self.events.append(CacheEvent(self.sequence, kind, prefix, now))

    def events_after(self, sequence: int, now: float) -> list[CacheEvent]:
        """Return the events after a sequence number that are published by now."""
        published_until = now - self.lag_seconds
        return [
            event
            for event in self.events
            if event.sequence > sequence and event.at <= published_until
        ]
