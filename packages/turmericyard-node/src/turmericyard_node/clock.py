"""Jitter for intervals, and the shared ticks of a node's loops."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TypeAlias

import curio

from turmericyard_http.clock import boot_seconds

Jitter: TypeAlias = Callable[[], float]

MIN_JITTER_FACTOR = 0.75
MAX_JITTER_FACTOR = 1.25

#: Share of an interval; a time this close before a tick counts as the tick.
TICK_MARGIN_SHARE = 0.01

#: Origin of this process's ticks. Each process has its own, so that the ticks
#: of several processes do not coincide.
STARTED_AT = boot_seconds()


def create_jitter() -> Jitter:
    """Return a source of random factors that keep nodes from synchronizing."""
    return partial(Random().uniform, MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)


def seconds_to_tick(now: float, interval: float, origin: float) -> float:
    """Return the seconds until the next tick.

    Ticks are at multiples of the interval after the origin; all times are in
    seconds. Just before a tick, the time until the following one is returned,
    so that a sleep that ends slightly early does not cause two wake-ups for one
    tick.
    """
    remaining = interval - (now - origin) % interval
    return (
        remaining
        if remaining > interval * TICK_MARGIN_SHARE
        else remaining + interval
    )


async def sleep_to_tick(interval: float) -> None:
    """Sleep until the next tick of the interval.

    Ticks are at multiples of the interval after the start of the process. Loops
    whose intervals are multiples of each other wake up together, since each
    wake-up of an idle process costs more than the work of a loop.
    """
    await curio.sleep(seconds_to_tick(boot_seconds(), interval, STARTED_AT))
