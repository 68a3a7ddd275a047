"""Settings of an engine model and the requests submitted to it."""

from dataclasses import dataclass

#: Number of tokens covered by one link of the prefix chain of a prompt.
PREFIX_CHUNK_TOKENS = 64


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Speeds and capacities of one engine.

    A step takes `base_seconds`, plus a time for each decoding sequence, each
    resident token and each prefill token, multiplied by `cold_slowdown` while
    the engine is cold. A cold engine has capacity for `cold_limit` requests,
    plus one for each `warm_tokens_per_slot` tokens produced since it turned
    cold, up to `limit`. A cold engine with more requests than its capacity
    crashes; after turning cold without a restart this applies only from
    `cold_onset_seconds` on. Admission keeps `watermark_blocks` free.
    """

    cold_limit: int = 2
    limit: int = 32
    queue_limit: int = 256
    memory_tokens: int = 48_000
    block_tokens: int = 16
    watermark_blocks: int = 8
    prefix_cache_tokens: int = 16_000
    base_seconds: float = 0.02
    sequence_seconds: float = 0.00025
    resident_token_seconds: float = 0.15e-6
    prefill_token_seconds: float = 1e-5
    prefill_tokens_per_step: int = 512
    cold_slowdown: float = 1.6
    warm_tokens_per_slot: int = 100
    cold_onset_seconds: float = 1
    down_seconds: float = 1


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One generation submitted to the engine.

    `output_tokens` is the final output length, which is unknown to the
    scheduler. `prefix` is the chain of prefix hashes of the prompt. Priority 0
    is the most urgent. A poisonous request crashes the engine at the end of
    its prefill.
    """

    generation: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 1
    prefix: tuple[int, ...] = ()
    poisonous: bool = False
