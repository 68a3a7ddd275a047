"""Detects requests that crash endpoints, and stops sending them."""

from dataclasses import dataclass, field

import curio
import xxhash

from turmericyard_decisions.strikes import (
    STRIKE_LIMIT,
    Strike,
    StrikeRegistry,
)
from turmericyard_http.connection import connect
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.findings import FindingRegistry
from turmericyard_node.forwarding.job import Job

#: Time within which all connections of a crashed endpoint break, in seconds.
GATHER_SECONDS = 0.05
#: Time limit for an endpoint to accept a connection, in seconds. An endpoint
#: that does not answer in time may still be running.
CONNECT_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer that broke off, and the strikes at send of its request."""

    attempt: str
    strike: Strike


@dataclass(slots=True)
class CrashDetector:
    """Counts strikes against requests whose endpoints crash.

    `broken` has the broken answers by endpoint. An endpoint whose connections
    break before it began its answers has crashed when it refuses the next
    connection.
    """

    findings: FindingRegistry
    tasks: BackgroundTasks
    broken: dict[str, list[BrokenAnswer]] = field(default_factory=dict)

    @property
    def strike_registry(self) -> StrikeRegistry:
        """Return the strikes that are known against requests."""
        return self.findings.strikes

    def refuses(self, job: Job) -> bool:
        """Return whether a request must not be sent any more.

        An answer that has just broken off counts as a strike, since its
        endpoint may have crashed.
        """
        if self.strike_registry.refuses(job.mark):
            return True
        return (
            bool(job.broken_answers)
            and job.strikes_at_send.count + 1 >= STRIKE_LIMIT
        )

    def record_strikes_at_send(self, job: Job) -> None:
        """Record the strikes against a request at the time when it is sent.

        When a request is sent again at once after its answer broke off, it is
        not known yet whether the endpoint crashed: that counts as a strike.
        """
        known = self.strike_registry.known(job.mark)
        count = max(known.count, job.broken_answers)
        job.strikes_at_send = Strike(job.mark, known.era, count)

    async def record_completion(self, job: Job) -> None:
        """Clear the strikes of a request that ran to its end."""
        cleared = self.strike_registry.clear_strikes(job.strikes_at_send)
        if cleared is not None:
            await self.findings.report_strikes((cleared,))

    async def record_broken_answer(self, job: Job, endpoint: Endpoint) -> None:
        """Start to check whether the endpoint of a broken answer has crashed.

        An endpoint that announced its leaving is expected to stop.
        """
        if endpoint.leaving_since is not None:
            return
        job.broken_answers += 1
        broken_answer = BrokenAnswer(job.attempt, job.strikes_at_send)
        broken_off = self.broken.get(endpoint.identity)
        if broken_off is not None:
            broken_off.append(broken_answer)
            return
        self.broken[endpoint.identity] = [broken_answer]
        await self.tasks.spawn(self.check, endpoint)

    async def check(self, endpoint: Endpoint) -> None:
        """Strike each request if the endpoint refuses connections."""
        await curio.sleep(GATHER_SECONDS)
        refused = await refuses_connection(endpoint.record.address)
        broken_off = self.broken.pop(endpoint.identity)
        if not refused:
            return
        log_event(
            Event.ENDPOINT_DIED,
            endpoint=endpoint.identity,
            requests=len(broken_off),
            strikes=max(each.strike.count for each in broken_off) + 1,
            attempts=[each.attempt for each in broken_off],
            marks=[each.strike.mark.hex() for each in broken_off],
        )
        await self.findings.report_strikes(
            self.strike_registry.record_strike(each.strike)
            for each in broken_off
        )


async def refuses_connection(address: str) -> bool:
    """Return whether nothing listens at an address."""
    try:
        async with curio.timeout_after(CONNECT_SECONDS):
            connection = await connect(address)
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout):
        return False
    await connection.close()
    return False


def mark_of(workspace: str | None, target: bytes, body: bytes) -> bytes:
    """Return the digest that identifies repeats of a caller's request."""
    digest = xxhash.xxh3_128()
    for part in ((workspace or '').encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
