"""Notices requests that crash endpoints, and keeps them from the others."""

from dataclasses import dataclass, field

import curio
import xxhash

from turmericyard_decisions.strikes import (
    STRIKE_LIMIT,
    Strike,
    StrikeBook,
)
from turmericyard_http.connection import connect
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.findings import FindingBook
from turmericyard_node.forwarding.job import Job

#: Time in which the other connections of a crashed endpoint break, in seconds.
GATHER_SECONDS = 0.05
#: How long an endpoint has to accept a connection, in seconds. One that is
#: silent has not crashed for certain.
CONNECT_SECONDS = 0.3


@dataclass(slots=True)
class CrashWatch:
    """Strikes against requests; `broken` are those whose answers broke off.

    An endpoint whose answers break off before it began them has crashed when
    it refuses the next connection.
    """

    findings: FindingBook
    tasks: BackgroundTasks
    broken: dict[str, list[Strike]] = field(default_factory=dict)

    @property
    def book(self) -> StrikeBook:
        """Return what is known against requests."""
        return self.findings.strikes

    def refuses(self, job: Job) -> bool:
        """Return whether a request is not to be sent any more.

        One whose answer has just broken off may have been its last strike.
        """
        if self.book.refuses(job.mark):
            return True
        return bool(job.broken) and job.sent_with.count + 1 >= STRIKE_LIMIT

    def note_send(self, job: Job) -> None:
        """Remember what is known against a request as it is sent.

        Whether the endpoint of an answer that broke off crashed is not known
        yet when the request is sent again at once: it counts as a strike.
        """
        known = self.book.known(job.mark)
        count = max(known.count, job.broken)
        job.sent_with = Strike(job.mark, known.era, count)

    async def note_end(self, job: Job) -> None:
        """Clear a request that ran to its end."""
        cleared = self.book.clear(job.sent_with)
        if cleared is not None:
            await self.findings.report_strikes((cleared,))

    async def note_break(self, job: Job, endpoint: Endpoint) -> None:
        """Look whether an endpoint crashed whose answer broke off.

        One that said that it leaves ends as it said.
        """
        if endpoint.leaving_since is not None:
            return
        job.broken += 1
        gathered = self.broken.get(endpoint.identity)
        if gathered is not None:
            gathered.append(job.sent_with)
            return
        self.broken[endpoint.identity] = [job.sent_with]
        await self.tasks.spawn(self.check, endpoint)

    async def check(self, endpoint: Endpoint) -> None:
        """Strike the requests of an endpoint that refuses connections."""
        await curio.sleep(GATHER_SECONDS)
        refused = await refuses_connection(endpoint.record.address)
        gathered = self.broken.pop(endpoint.identity)
        if not refused:
            return
        log_event(
            Event.ENDPOINT_DIED,
            endpoint=endpoint.identity,
            requests=len(gathered),
            strikes=max(sent.count for sent in gathered) + 1,
        )
        await self.findings.report_strikes(map(self.book.strike, gathered))


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
    """Return the mark that a caller's request has each time it comes."""
    digest = xxhash.xxh3_128()
    for part in ((workspace or '').encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
