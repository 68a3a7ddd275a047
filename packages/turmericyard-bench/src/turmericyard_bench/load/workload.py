"""Seeded requests with heavy-tailed lengths for the example deployments."""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import log

from turmericyard_bench.transcript import MAX_FORCED_TOKENS, length_word

MIN_TOKENS = 2
#: Number of words with which every prompt of a workspace begins.
SHARED_WORDS = 128


@dataclass(frozen=True, slots=True)
class ProductShape:
    """Requests of one product.

    Output lengths are log-normal, in tokens. `share` is the fraction of all
    requests. `prompt_words` is the largest number of words of its own that a
    prompt has.
    """

    product: str
    share: float
    median_tokens: float
    sigma: float
    prompt_words: int


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Products of a deployment and the relative weights of workspaces."""

    products: tuple[ProductShape, ...]
    workspaces: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """One request, sent `at` seconds after the start of the run."""

    number: int
    at: float
    product: str
    workspace: str
    prompt: str
    tokens: int


#: Share, median tokens, sigma and prompt words of each product.
ProductRows = Mapping[str, tuple[float, float, float, int]]


def create_shape(
    products: ProductRows, workspaces: Mapping[str, int]
) -> DeploymentShape:
    """Return a deployment shape from product rows and workspace weights."""
    shapes = tuple(ProductShape(name, *row) for name, row in products.items())
    return DeploymentShape(shapes, workspaces)


SHAPES: Mapping[str, DeploymentShape] = {
    'vodnik': create_shape(
        {
            'household-report': (0.5, 400, 0.9, 200),
            'fixture-label': (0.5, 24, 0.5, 40),
        },
        {
            'ljubljana-voda': 20,
            'maribor-vodovod': 12,
            'celje-svetovanje': 8,
            'kranj-dom': 3,
        },
    ),
    'salvagewright': create_shape(
        {
            'harvest-sheet': (0.6, 500, 0.9, 300),
            'donor-question': (0.4, 60, 0.7, 40),
        },
        {
            'granite-manchester': 20,
            'granite-worcester': 12,
            'granite-portland': 8,
            'granite-burlington': 3,
        },
    ),
}


def draw_requests(
    shape: DeploymentShape, rate: float, seconds: float, seed: int
) -> Iterator[LoadRequest]:
    """Yield the requests of a run in time order.

    `rate` is in requests per second.
    """
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    number = 0
    while at < seconds:
        yield draw_request(shape, rng, number, at)
        at += rng.expovariate(rate)
        number += 1


def draw_request(
    shape: DeploymentShape, rng: random.Random, number: int, at: float
) -> LoadRequest:
    """Return one randomly drawn request of the deployment."""
    shares = [product.share for product in shape.products]
    product = rng.choices(shape.products, shares)[0]
    names = list(shape.workspaces)
    workspace = rng.choices(names, list(shape.workspaces.values()))[0]
    drawn = int(rng.lognormvariate(log(product.median_tokens), product.sigma))
    tokens = min(max(drawn, MIN_TOKENS), MAX_FORCED_TOKENS)
    shared = ' '.join(f'{workspace}-{word}' for word in range(SHARED_WORDS))
    own = ' '.join(
        f'{number}-{word}'
        for word in range(rng.randint(1, product.prompt_words))
    )
    prompt = f'{shared} {own} {length_word(tokens)}'
    return LoadRequest(number, at, product.product, workspace, prompt, tokens)
