"""Runs attempts of one request at several endpoints; the first good one wins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, Generic, Protocol, TypeVar

import curio

from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.forwarding.endpoint_registry import Endpoint

Outcome = TypeVar('Outcome')


class Contest(Protocol[Outcome]):
    """How one request runs at an endpoint."""

    @property
    def earlier_runs(self) -> int:
        """Return the number of endpoints that may have run it before."""

    @property
    def limit(self) -> float:
        """Return its time limit without a hedge, in seconds."""

    async def attempt(self, endpoint: Endpoint) -> Outcome:
        """Send the request to an endpoint."""

    def is_good(self, outcome: Outcome) -> bool:
        """Return whether an outcome is passed on while the other run goes on."""

    async def discard(self, outcome: Outcome) -> None:
        """Free what an outcome holds that is not passed on."""

    def give_up(self, endpoint: Endpoint) -> Outcome:
        """Return the outcome of a run that was cancelled after its limit."""


@dataclass(slots=True, eq=False)
class Entry(Generic[Outcome]):
    """One attempt of a race; `outcome` or `error` is set when it has ended."""

    endpoint: Endpoint
    task: Any = None
    outcome: Outcome | None = None
    error: Exception | None = None


@dataclass(slots=True, eq=False)
class Race(Generic[Outcome]):
    """The attempts of one request; `winner` is the one that is passed on."""

    attempt: Callable[[Endpoint], Awaitable[Outcome]]
    contest: Contest[Outcome]
    tasks: BackgroundTasks
    ended: curio.Queue = field(default_factory=curio.Queue)
    entries: list[Entry[Outcome]] = field(default_factory=list)
    winner: Entry[Outcome] | None = None
    is_closed: bool = False

    async def start(self, endpoint: Endpoint) -> Entry[Outcome]:
        """Start an attempt at an endpoint."""
        entry: Entry[Outcome] = Entry(endpoint)
        self.entries.append(entry)
        entry.task = await self.tasks.spawn(self.run, entry)
        return entry

    async def run(self, entry: Entry[Outcome]) -> None:
        """Run an attempt and report its end."""
        try:
            entry.outcome = await self.attempt(entry.endpoint)
        except Exception as error:  # noqa: BLE001  raised by the race
            entry.error = error
        if self.is_closed and entry.outcome is not None:
            # The cancellation came when the attempt had already ended.
            async with curio.disable_cancellation():
                await self.contest.discard(entry.outcome)
            return
        await self.ended.put(entry)

    async def next_end(self) -> Entry[Outcome]:
        """Return the next attempt that ends."""
        entry: Entry[Outcome] = await self.ended.get()
        return entry

    async def end_within(self, seconds: float) -> Entry[Outcome] | None:
        """Return the next attempt that ends, None after `seconds`."""
        if seconds == inf:
            return await self.next_end()
        async with curio.ignore_after(seconds):
            return await self.next_end()
        return None

    def is_good(self, entry: Entry[Outcome]) -> bool:
        """Return whether an attempt ended with a good outcome."""
        return entry.outcome is not None and self.contest.is_good(entry.outcome)

    async def close(self) -> None:
        """Cancel the attempts that still run, and discard unused outcomes."""
        self.is_closed = True
        for entry in self.entries:
            if entry is self.winner:
                continue
            if entry.outcome is not None:
                await self.contest.discard(entry.outcome)
            elif entry.error is None and entry.task is not None:
                await entry.task.cancel(blocking=False)
