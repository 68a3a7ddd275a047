"""Detects requests that crash endpoints, and stops sending them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

import curio
import xxhash

from turmericyard_decisions.strikes import (
    PART_STRIKE_LIMIT,
    STRIKE_LIMIT,
    Strike,
    StrikeRegistry,
)
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.findings import FindingRegistry
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.paths import EndpointPaths

#: Time within which all connections of a crashed endpoint break, in seconds.
GATHER_SECONDS = 0.05
#: Time limit for an endpoint to accept a connection, in seconds. An endpoint
#: that does not answer in time may still be running.
CONNECT_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer that broke off, and the strikes when its request was sent.

    `strikes` has those of the parts of its prompt only if they may have crashed
    the endpoint. An answer that ended with its connection may be complete.
    """

    job: Job
    strikes: tuple[Strike, ...]
    may_be_complete: bool = False

    def record(self, registry: StrikeRegistry) -> Iterator[Strike | None]:
        """Count a strike against the request and each part of its prompt."""
        request, *parts = self.strikes
        yield registry.record_strike(request)
        marks = [part.mark for part in parts]
        for part in parts:
            yield registry.record_strike(part, marks)


@dataclass(slots=True)
class CrashDetector:
    """Counts strikes against requests and parts of prompts.

    `broken` has the broken answers by endpoint. An endpoint whose connections
    break before its answers are complete has crashed when it refuses the next
    connection.
    """

    findings: FindingRegistry
    tasks: BackgroundTasks
    paths: EndpointPaths
    broken: dict[str, list[BrokenAnswer]] = field(default_factory=dict)

    @property
    def strike_registry(self) -> StrikeRegistry:
        """Return the strikes that are known."""
        return self.findings.strikes

    def refuses(self, job: Job) -> bool:
        """Return whether a request must not be sent any more.

        An answer that has just broken off counts as a strike, since its
        endpoint may have crashed.
        """
        return self.refuses_request(job) or self.refuses_part(job)

    def refuses_request(self, job: Job) -> bool:
        """Return whether the request itself has too many strikes."""
        if self.strike_registry.refuses_request(job.mark):
            return True
        if not job.unexplained_breaks:
            return False
        return job.strikes_at_send[0].count + 1 >= STRIKE_LIMIT

    def refuses_part(self, job: Job) -> bool:
        """Return whether a part of its prompt has too many strikes."""
        if any(
            self.strike_registry.refuses_part(mark, job.part_marks)
            for mark in job.part_marks
        ):
            return True
        return bool(job.unexplained_breaks) and any(
            strike.count + 1 >= PART_STRIKE_LIMIT
            for strike in job.strikes_at_send[1:]
        )

    def may_continue(self, job: Job, *, established: bool) -> bool:
        """Return whether a run whose stream broke may go on elsewhere.

        A run that was never `established` may be what crashed its endpoint. It
        goes on only if no strike was known when it was sent.
        """
        if established:
            return not self.refuses_request(job)
        struck = any(strike.count for strike in job.strikes_at_send)
        return not struck and not self.refuses(job)

    def seconds_left(self, job: Job) -> float:
        """Return the seconds until a refused request may be sent again."""
        registry = self.strike_registry
        seconds = [registry.refusal_left(mark) for mark in job.part_marks]
        if registry.refuses_request(job.mark):
            seconds.append(registry.seconds_left(job.mark))
        return max(seconds, default=0)

    def record_strikes_at_send(self, job: Job) -> None:
        """Record the strikes against a request at the time when it is sent.

        When a request is sent again at once after its answer broke off, it is
        not known yet whether the endpoint crashed: that counts as a strike.
        """
        known = map(self.strike_registry.known, job.marks)
        job.strikes_at_send = tuple(
            replace(each, count=max(each.count, job.unexplained_breaks))
            for each in known
        )

    async def record_established(self, job: Job) -> None:
        """Clear the strikes against the parts of an established run."""
        await self.clear(job.part_marks)

    async def record_completion(self, job: Job) -> None:
        """Clear the strikes of a request that ran to its end."""
        await self.clear(job.marks)

    async def clear(self, marks: Iterable[bytes]) -> None:
        """Clear the strikes against marks, and inform the hubs of changes."""
        cleared = map(self.strike_registry.clear_strikes, marks)
        found = tuple(filter(None, cleared))
        if found:
            await self.findings.report_strikes(found)

    async def record_broken_answer(
        self, job: Job, endpoint: Endpoint, *, established: bool = False
    ) -> None:
        """Start to check whether the endpoint of a broken answer has crashed.

        A crash after its run was `established` counts against the request only.
        """
        strikes = suspected_strikes(job, established=established)
        await self.suspect(endpoint, BrokenAnswer(job, strikes))

    async def record_unframed_answer(
        self, job: Job, endpoint: Endpoint, *, established: bool = False
    ) -> None:
        """Start to check whether an answer ended with a crash.

        Nothing but the end of its connection ends such an answer, as the crash
        of its endpoint does.
        """
        strikes = suspected_strikes(job, established=established)
        await self.suspect(endpoint, BrokenAnswer(job, strikes, True))

    async def suspect(
        self, endpoint: Endpoint, broken_answer: BrokenAnswer
    ) -> None:
        """Start to check whether an endpoint has crashed.

        An endpoint that announced its leaving is expected to stop.
        """
        if endpoint.leaving_since is not None:
            return
        broken_answer.job.unexplained_breaks += 1
        broken_off = self.broken.get(endpoint.identity)
        if broken_off is not None:
            broken_off.append(broken_answer)
            return
        self.broken[endpoint.identity] = [broken_answer]
        await self.tasks.spawn(self.check, endpoint)

    async def check(self, endpoint: Endpoint) -> None:
        """Strike each request if the endpoint refuses connections."""
        await curio.sleep(GATHER_SECONDS)
        refused = await self.is_refused(endpoint.record.address)
        broken_off = self.broken.pop(endpoint.identity)
        for broken_answer in broken_off:
            broken_answer.job.unexplained_breaks -= 1
        if not refused:
            for complete in broken_off:
                if complete.may_be_complete:
                    await self.record_completion(complete.job)
            return
        struck = dict.fromkeys(
            strike for each in broken_off for strike in each.strikes
        )
        log_event(
            Event.ENDPOINT_DIED,
            endpoint=endpoint.identity,
            requests=len(broken_off),
            strikes=max(strike.count for strike in struck) + 1,
            attempts=[each.job.attempt for each in broken_off],
            marks=[strike.mark.hex() for strike in struck],
        )
        await self.findings.report_strikes(
            strike
            for each in broken_off
            for strike in each.record(self.strike_registry)
        )

    async def is_refused(self, address: str) -> bool:
        """Return whether nothing listens at an endpoint's address."""
        try:
            async with curio.timeout_after(CONNECT_SECONDS):
                return await self.paths.is_refused(address)
        except curio.TaskTimeout:
            return False


def suspected_strikes(job: Job, *, established: bool) -> tuple[Strike, ...]:
    """Return the strikes at send of what may have crashed an endpoint."""
    return job.strikes_at_send[:1] if established else job.strikes_at_send


def mark_of(workspace: str | None, target: bytes, body: bytes) -> bytes:
    """Return the digest that identifies repeats of a caller's request."""
    digest = xxhash.xxh3_128()
    for part in ((workspace or '').encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


def part_marks_of(shared_parts: Iterable[str]) -> tuple[bytes, ...]:
    """Return the digests that identify parts of prompts."""
    return tuple(
        xxhash.xxh3_128_digest(f'part:{part}'.encode()) for part in shared_parts
    )
