"""Division of an endpoint's limit into shares.

The stored view distributes a fixed number of slots over the nodes. An endpoint
maps to a few distinct slots by hash, in an order that does not depend on the
view. Each of these slots holds one share of the endpoint's current capacity.
"""

from functools import lru_cache

import xxhash

#: Number of slots in a view; it is fixed when the view is created.
SLOT_COUNT = 1024

#: Number of shares into which the limit of one endpoint is divided.
SHARE_COUNT = 5

#: Endpoints whose computed slots are cached.
CACHED_ENDPOINTS = 8192


@lru_cache(maxsize=CACHED_ENDPOINTS)
def share_slots(
    endpoint: str,
    share_count: int = SHARE_COUNT,
    slot_count: int = SLOT_COUNT,
) -> tuple[int, ...]:
    """Return the distinct slots of the endpoint's shares, by rank."""
    name = endpoint.encode()
    slots: list[int] = []
    hash_seed = 0
    while len(slots) < min(share_count, slot_count):
        slot = xxhash.xxh64_intdigest(name, seed=hash_seed) % slot_count
        if slot not in slots:
            slots.append(slot)
        hash_seed += 1
    return tuple(slots)


def share_size(bound: int, rank: int, share_count: int = SHARE_COUNT) -> int:
    """Return how much concurrent work the share of this rank allows.

    The shares of all ranks sum to `bound`; none decreases when `bound` increases.
    """
    quotient, remainder = divmod(bound, share_count)
    return quotient + (rank < remainder)
