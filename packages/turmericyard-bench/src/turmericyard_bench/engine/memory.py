"""Allocator of token memory in blocks."""


class BlockAllocator:
    """Counts free blocks of a fixed memory; all blocks are equivalent."""

    def __init__(self, memory_tokens: int, block_tokens: int) -> None:
        self.block_tokens = block_tokens
        self.total = memory_tokens // block_tokens
        self.free = self.total

    def blocks_for(self, tokens: int) -> int:
        """Return the number of blocks that hold `tokens` tokens."""
        return -(-tokens // self.block_tokens)

    def allocate(self, blocks: int) -> bool:
        """Allocate the blocks if enough are free; return whether it did."""
        if blocks > self.free:
            return False
        self.free -= blocks
        return True

    def release(self, blocks: int) -> None:
        """Return blocks to the free ones."""
        self.free += blocks
