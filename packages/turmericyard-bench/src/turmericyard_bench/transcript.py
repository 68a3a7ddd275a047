"""Output text of the engine stand-in, and its check by the receiver.

The text of a token contains digests of the prompt and the generation, and
the offset. So a caller can detect a lost or repeated token, or one of another
generation, from the text alone.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache

import xxhash

TOKEN_BYTES = 8
TOKEN_MASK = 0x7FFFFFFF
#: Longest output length that a prompt can set, in tokens.
MAX_FORCED_TOKENS = 32_768
#: Mean (so the log of the median) and deviation of the logarithm of output
#: lengths that no prompt sets.
LENGTH_LOG_MEAN = 5.0
LENGTH_LOG_SIGMA = 1.0


@dataclass(frozen=True, slots=True)
class Transcript:
    """The result of checking a received text.

    `fault` is empty when the text has all tokens from offset 0 on, once and
    in order, from one generation of the prompt.
    """

    tokens: int
    generation: str
    fault: str = ''


def word_token(word: str) -> int:
    """Return the token of a word, computed as nodes do for a prompt."""
    return xxhash.xxh32_intdigest(word.encode()) & TOKEN_MASK


def text_tokens(prompt: str) -> tuple[int, ...]:
    """Return the tokens of a prompt's text."""
    return tuple(word_token(word) for word in prompt.split()) or (0,)


def length_word(tokens: int) -> str:
    """Return the word that sets the output length at the end of a prompt."""
    return f'length:{tokens}'


@cache
def forced_lengths() -> dict[int, int]:
    """Return the output lengths by the prompt token that sets them."""
    return {
        word_token(length_word(tokens)): tokens
        for tokens in range(1, MAX_FORCED_TOKENS + 1)
    }


def prompt_digest(prompt: Sequence[int]) -> str:
    """Return the digest of a prompt that its output contains."""
    packed = b''.join(token.to_bytes(TOKEN_BYTES, 'big') for token in prompt)
    return xxhash.xxh32_hexdigest(packed)


def generation_digest(generation: str) -> str:
    """Return the digest of a generation id that its output contains."""
    return xxhash.xxh32_hexdigest(generation.encode())


def text_stem(prompt: Sequence[int], generation: str) -> str:
    """Return the prefix of the text of all tokens of one generation."""
    return f'{prompt_digest(prompt)}.{generation_digest(generation)}.'


def output_tokens(prompt: Sequence[int], max_tokens: int, seed: int) -> int:
    """Return the output length for a prompt, in tokens.

    It is the length that the prompt sets, or a random one from the seed and
    the prompt, and `max_tokens` at most.
    """
    forced = forced_lengths().get(prompt[-1]) if prompt else None
    if forced is not None:
        return min(max_tokens, forced)
    source = random.Random(f'{seed}:{prompt_digest(prompt)}')
    length = int(source.lognormvariate(LENGTH_LOG_MEAN, LENGTH_LOG_SIGMA))
    return max(1, min(max_tokens, length))


def read_transcript(prompt: Sequence[int], text: str) -> Transcript:
    """Check a received text against the prompt that was sent."""
    pieces = text.split()
    generations = {piece.split('.')[1] for piece in pieces if '.' in piece}
    generation = min(generations, default='')
    if len(generations) > 1:
        return Transcript(len(pieces), generation, 'several generations')
    stem = f'{prompt_digest(prompt)}.{generation}.'
    for offset, piece in enumerate(pieces):
        if piece != f'{stem}{offset}':
            fault = f'offset {offset}: got {piece}, expected {stem}{offset}'
            return Transcript(len(pieces), generation, fault)
    return Transcript(len(pieces), generation)
