"""Runs one request at an endpoint, and at a second one when it is late."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

import curio

from turmericyard_decisions.hedging import Refusal, Sent
from turmericyard_decisions.response_times import RequestKind
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.hedging import records
from turmericyard_node.forwarding.hedging.hedger import Hedger
from turmericyard_node.forwarding.hedging.race import Contest, Entry, Race
from turmericyard_node.forwarding.job import Job

Outcome = TypeVar('Outcome')


@dataclass(slots=True, eq=False)
class HedgedRequest(Generic[Outcome]):
    """One request; `sends` has its attempts by endpoint."""

    hedger: Hedger
    job: Job
    kind: RequestKind
    contest: Contest[Outcome]
    began_at: float
    race: Race[Outcome] = field(init=False)
    sends: dict[str, Sent] = field(default_factory=dict)
    #: How the hedge ended, if there is one.
    result: str = records.CLIENT_GONE

    def __post_init__(self) -> None:
        """Create the race of the attempts."""
        self.race = Race(self.observe, self.contest, self.hedger.tasks)

    def waited(self) -> float:
        """Return the time since the request was sent, in seconds."""
        return self.hedger.clock() - self.began_at

    async def run(self, endpoint: Endpoint) -> list[Outcome]:
        """Return the outcomes, the one that is passed on last."""
        first = await self.race.start(endpoint)
        try:
            last = await self.last_entry(endpoint)
            if last is None:
                return [self.contest.give_up(first.endpoint)]
            return self.conclude(last)
        finally:
            await self.race.close()
            if len(self.race.entries) > 1:
                self.hedger.recorder.record_end(
                    self.job, self.result, self.waited()
                )

    async def last_entry(self, endpoint: Endpoint) -> Entry[Outcome] | None:
        """Return the attempt that is passed on, None to give up."""
        limit = self.contest.limit
        delay = self.hedger.policy.delay(self.kind, endpoint.identity)
        if delay is None or delay >= limit:
            return await self.race.end_within(limit)
        ended = await self.race.end_within(delay)
        if ended is not None:
            return ended
        if await self.hedge(endpoint):
            return await self.first_good()
        return await self.race.end_within(max(0, limit - self.waited()))

    async def hedge(self, late: Endpoint) -> bool:
        """Send the request to a second endpoint; return whether it was sent."""
        recorder = self.hedger.recorder
        chosen = await self.hedger.choose(
            self.job, self.sends[late.identity], self.contest.earlier_runs
        )
        if isinstance(chosen, Endpoint) and not self.race.ended.empty():
            await self.hedger.release(self.job, chosen)
            chosen = Refusal.ANSWERED
        if isinstance(chosen, Refusal):
            recorder.record_refusal(self.job, late, chosen, self.waited())
            return False
        self.hedger.policy.budget(self.kind.service).spend()
        recorder.record_sent(self.job, late, chosen, self.waited())
        await self.race.start(chosen)
        return True

    async def first_good(self) -> Entry[Outcome]:
        """Return the first attempt with a good outcome, else the last to end."""
        for _ in self.race.entries[1:]:
            entry = await self.race.next_end()
            if self.race.is_good(entry):
                return entry
            # From here on the other attempt is one that goes on after a failure:
            # if its endpoint crashes too, that is a further strike.
            self.hedger.sender.crashes.record_strikes_at_send(self.job)
        return await self.race.next_end()

    def conclude(self, last: Entry[Outcome]) -> list[Outcome]:
        """Return the outcomes of all attempts that have ended."""
        first = self.race.entries[0]
        good = self.race.is_good(last)
        self.result = records.LOST if last is first else records.WON
        if not good:
            self.result = records.FAILED
        if last.error is not None:
            raise last.error
        self.race.winner = last
        outcomes = [
            entry.outcome for entry in self.race.entries if entry is not last
        ]
        return [
            outcome
            for outcome in (*outcomes, last.outcome)
            if outcome is not None
        ]

    async def observe(self, endpoint: Endpoint) -> Outcome:
        """Run the request at an endpoint and record its response time."""
        policy = self.hedger.policy
        sent = policy.begin(self.kind, endpoint.identity, self.hedger.clock())
        self.sends[endpoint.identity] = sent
        self.job.excluded_endpoints.add(endpoint.identity)
        try:
            outcome = await self.contest.attempt(endpoint)
        except curio.CancelledError:
            policy.cancel(sent, self.hedger.clock())
            raise
        except Exception:
            policy.fail(sent, self.hedger.clock())
            raise
        self.hedger.observe(sent, outcome, good=self.contest.is_good(outcome))
        return outcome


async def run_hedged(
    hedger: Hedger, job: Job, endpoint: Endpoint, contest: Contest[Outcome]
) -> list[Outcome]:
    """Run a request at an endpoint, and at a second one when it is late.

    Returns the outcomes, the one that is passed on last.
    """
    request = HedgedRequest(
        hedger, job, hedger.begin(job), contest, hedger.clock()
    )
    return await request.run(endpoint)
