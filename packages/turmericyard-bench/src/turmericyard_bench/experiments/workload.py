"""Seeded workloads of heavy-tailed generations."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import log
from random import Random

from turmericyard_bench.engine.shape import PREFIX_CHUNK_TOKENS

MIN_TOKENS = 4
MIN_PROMPT_TOKENS = 32
PREFIX_CHUNKS_PER_WORKSPACE = 64
MEAN_SAMPLES = 20_000
MEAN_SEED = 1


@dataclass(frozen=True, slots=True)
class ProductLoad:
    """One product's requests; lengths are log-normal, in tokens.

    `share` is its share of the requests. `shared_prompt_tokens` is the part
    of the prompt that all requests of a workspace begin with.
    """

    name: str
    share: float
    median_tokens: float
    sigma: float
    max_tokens: int
    prompt_median_tokens: float
    prompt_sigma: float
    shared_prompt_tokens: int
    priority: int
    deadline_seconds: float

    def draw_tokens(self, rng: Random, factor: float = 1) -> int:
        """Return an output length; `factor` scales the median."""
        median = log(self.median_tokens * factor)
        drawn = int(rng.lognormvariate(median, self.sigma))
        return min(max(drawn, MIN_TOKENS), self.max_tokens)

    def draw_prompt_tokens(self, rng: Random) -> int:
        """Return the length of the prompt without its shared part."""
        median = log(self.prompt_median_tokens)
        drawn = int(rng.lognormvariate(median, self.prompt_sigma))
        return max(drawn, MIN_PROMPT_TOKENS)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The shape of one user's deployment.

    `workspaces` are the weights of the workspaces in the draw of requests.
    `saturation` is the most that the oracle delivers, in tokens per second.
    """

    name: str
    zones: tuple[str, ...]
    engines: int
    products: tuple[ProductLoad, ...]
    workspaces: tuple[int, ...]
    tail_weight: float
    saturation: float

    def mean_tokens(self) -> float:
        """Return the mean output of a request over all products."""
        rng = Random(MEAN_SEED)
        shares = [product.share for product in self.products]
        drawn = rng.choices(self.products, shares, k=MEAN_SAMPLES)
        total = sum(product.draw_tokens(rng) for product in drawn)
        return total / MEAN_SAMPLES


@dataclass(frozen=True, slots=True)
class Job:
    """One request of the workload; times in seconds of the virtual clock."""

    name: str
    arrives_at: float
    product: ProductLoad
    workspace: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Arrivals:
    """How requests arrive over time.

    The first `burst_share` of each `burst_period` has `burst_factor` times the
    mean rate; the rest has a lower rate, so that the mean is unchanged. From
    `shift_at` on the medians are `shift_factor` times as long and the rate is
    lowered to match. One large workspace sends `flood_rate` more requests per
    second.
    """

    tokens_per_second: float
    seconds: float
    burst_factor: float = 1
    burst_share: float = 0.1
    burst_period: float = 10
    shift_at: float = float('inf')
    shift_factor: float = 1
    flood_rate: float = 0
    flood_workspace: str = 'flood'
    products: tuple[str, ...] = ()
    only_workspace: str = ''

    def rate_factor(self, now: float) -> float:
        """Return the factor on the mean arrival rate at a time."""
        shifted = 1 / self.shift_factor if now >= self.shift_at else 1
        share = self.burst_share
        if now % self.burst_period < share * self.burst_period:
            return self.burst_factor * shifted
        return (1 - share * self.burst_factor) / (1 - share) * shifted

    def length_factor(self, now: float) -> float:
        """Return the factor on the median lengths at a time."""
        return self.shift_factor if now >= self.shift_at else 1


def arrival_times(
    rate: float,
    arrivals: Arrivals,
    rng: Random,
) -> Iterator[float]:
    """Yield the times of a Poisson process, thinned to the varying rate."""
    peak = rate * max(1, arrivals.burst_factor)
    now = rng.expovariate(peak)
    while now < arrivals.seconds:
        if rng.random() * peak < rate * arrivals.rate_factor(now):
            yield now
        now += rng.expovariate(peak)


def draw_job(
    deployment: Deployment,
    arrivals: Arrivals,
    arrives_at: float,
    rng: Random,
) -> Job:
    """Return one random job of a deployment; its name is still empty."""
    products = deployment.products
    shares = [product.share for product in products]
    product = rng.choices(products, shares)[0]
    workspace_numbers = range(len(deployment.workspaces))
    workspace_number = rng.choices(workspace_numbers, deployment.workspaces)[0]
    output = product.draw_tokens(rng, arrivals.length_factor(arrives_at))
    prompt = product.shared_prompt_tokens + product.draw_prompt_tokens(rng)
    group = products.index(product) * len(workspace_numbers) + workspace_number
    chunks = product.shared_prompt_tokens // PREFIX_CHUNK_TOKENS
    prefix = tuple(
        group * PREFIX_CHUNKS_PER_WORKSPACE + chunk for chunk in range(chunks)
    )
    return Job(
        '', arrives_at, product, f'w{workspace_number}', prompt, output, prefix
    )


def draw_jobs(
    deployment: Deployment,
    arrivals: Arrivals,
    seed: int,
) -> list[Job]:
    """Return the jobs of a run in order of arrival."""
    rng = Random(seed)
    rate = arrivals.tokens_per_second / deployment.mean_tokens()
    jobs = [
        draw_job(deployment, arrivals, arrives_at, rng)
        for arrives_at in arrival_times(rate, arrivals, rng)
    ]
    jobs = scale_times(jobs, arrivals)
    selected = [job for job in jobs if matches_filters(job, arrivals)]
    selected.extend(flood_jobs(deployment, arrivals, Random(seed + 1)))
    selected.sort(key=lambda job: job.arrives_at)
    return [
        replace(job, name=f'j{index}') for index, job in enumerate(selected)
    ]


def scale_times(jobs: list[Job], arrivals: Arrivals) -> list[Job]:
    """Return the jobs with times scaled so that their outputs match the rate.

    With heavy tails the sum of one draw differs a lot from its mean.
    """
    total = sum(job.output_tokens for job in jobs)
    factor = total / (arrivals.tokens_per_second * arrivals.seconds)
    return [
        replace(job, arrives_at=job.arrives_at * factor)
        for job in jobs
        if job.arrives_at * factor < arrivals.seconds or factor <= 1
    ]


def matches_filters(job: Job, arrivals: Arrivals) -> bool:
    """Return whether a job matches the filters of product and workspace."""
    if arrivals.products and job.product.name not in arrivals.products:
        return False
    required = arrivals.only_workspace
    return not required or job.workspace == required


def flood_jobs(
    deployment: Deployment,
    arrivals: Arrivals,
    rng: Random,
) -> Iterator[Job]:
    """Yield the additional requests of the flooding workspace."""
    if not arrivals.flood_rate:
        return
    steady = Arrivals(0, arrivals.seconds)
    for arrives_at in arrival_times(arrivals.flood_rate, steady, rng):
        job = draw_job(deployment, steady, arrives_at, rng)
        yield replace(job, workspace=arrivals.flood_workspace)
