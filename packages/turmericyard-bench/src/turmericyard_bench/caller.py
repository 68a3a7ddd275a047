"""A client of the system that records everything it receives.

It uses the addresses that nodes return, resumes broken or silent streams at
another node, and retries requests when the answer allows it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import curio
import orjson
from returns.result import Success

from turmericyard_bench.event_stream import (
    ErrorEvent,
    EventParser,
    EventStreamEnd,
    StartEvent,
    TokenEvent,
)
from turmericyard_bench.records import (
    CallRecord,
    ReceivedToken,
    StreamRecord,
)
from turmericyard_http.client import ClientStream, create_client
from turmericyard_http.clock import boot_seconds
from turmericyard_http.errors import HttpError, NotSent
from turmericyard_http.messages import Response, quote_segment

OK = 200
#: Silence after which a stream is resumed at another node, in seconds.
SILENCE_TIMEOUT_SECONDS = 6.0
#: Time-out for the head of a response, in seconds.
ANSWER_SECONDS = 30.0
#: Delay before a retry when the answer does not give one, in seconds.
RETRY_DELAY_SECONDS = 0.2
#: Upper bound of the delay that an answer asks for, in seconds.
MAX_RETRY_DELAY_SECONDS = 2.0
#: Time for which a call with an unknown outcome is retried, in seconds.
UNKNOWN_OUTCOME_SECONDS = 15.0
#: No connection could be made, so nothing was sent.
UNREACHED = 'unreached'
#: The request was sent and no complete answer was received.
LOST = 'lost'
DONE = 'done'
NOT_RUN = 'not-run'
MAY_HAVE_RUN = 'may-have-run'
REFUSED = 'refused'
#: Kind of the only error event after which a stream is resumed.
INTERRUPTED = 'interrupted'


@dataclass(slots=True)
class Caller:
    """One client; `addresses` are in order of preference.

    An address that fails is moved to the end.
    """

    workspace: str
    addresses: list[str]
    silence_seconds: float = SILENCE_TIMEOUT_SECONDS

    def address(self) -> str:
        """Return the most preferred address."""
        return self.addresses[0]

    def move_to_end(self, address: str) -> None:
        """Move an address that failed to the end of the list."""
        self.addresses.remove(address)
        self.addresses.append(address)

    def prefer(self, addresses: list[str]) -> None:
        """Move the addresses that a node returned to the front of the list."""
        others = [each for each in self.addresses if each not in addresses]
        self.addresses = [*addresses, *others]

    async def refresh(self) -> bool:
        """Update the addresses from a node; return False when none answers."""
        for address in tuple(self.addresses):
            answer = await create_client(address).request(
                'GET', f'/v1/addresses?workspace={self.workspace}', fresh=True
            )
            if isinstance(answer, Success) and answer.unwrap().status == OK:
                preferred = answer.unwrap().json()['addresses']
                self.prefer([str(each) for each in preferred])
                return True
        return False

    async def stream(
        self, record: StreamRecord, *, max_tokens: int, patience_seconds: float
    ) -> None:
        """Request the record's generation until it is complete.

        Gives up after `patience_seconds`. Each attempt has its own request
        id, `NAME.ATTEMPT`.
        """
        deadline = boot_seconds() + patience_seconds
        body = orjson.dumps(
            {
                'product': record.product,
                'workspace': self.workspace,
                'prompt': record.prompt,
                'max_tokens': max_tokens,
            }
        )
        while boot_seconds() < deadline and not record.ended:
            record.begin_attempt(boot_seconds())
            await self.attempt_stream(record, body, deadline)

    async def attempt_stream(
        self, record: StreamRecord, body: bytes, deadline: float
    ) -> None:
        """Send one request and resume its stream at other nodes as needed."""
        address = self.address()
        opened = await create_client(address).open_stream(
            'POST',
            '/v1/generate',
            headers={
                'content-type': 'application/json',
                'x-request-id': record.request,
            },
            body=body,
            timeout_seconds=ANSWER_SECONDS,
        )
        if not isinstance(opened, Success):
            record_failure(record, opened.failure())
            self.move_to_end(address)
            await curio.sleep(RETRY_DELAY_SECONDS)
            return
        stream = opened.unwrap()
        if stream.status != OK:
            await self.record_problem(record, address, stream)
            return
        await self.read_stream(record, address, stream)
        while record.resumable and boot_seconds() < deadline:
            await self.resume(record)

    async def record_problem(
        self, record: StreamRecord, address: str, stream: ClientStream
    ) -> None:
        """Record an error response and wait as long as it asks for."""
        try:
            content = await stream.read_all(ANSWER_SECONDS)
        except (OSError, EOFError, curio.TaskTimeout):
            content = b'{}'
        finally:
            await stream.close()
        problem = Response(stream.status, body=content).json()
        outcome = str(problem.get('outcome', LOST))
        record.record_answer(
            boot_seconds(),
            outcome,
            str(problem.get('kind')),
            str(problem.get('message', '')),
        )
        if outcome == REFUSED:
            record.ended = True
        await self.redirect_or_wait(address, problem)

    async def redirect_or_wait(
        self, address: str, problem: Mapping[str, Any]
    ) -> None:
        """Use the addresses in an error response, or wait before a retry.

        The wait is `retry_after_seconds` of the response, or
        RETRY_DELAY_SECONDS without it, and MAX_RETRY_DELAY_SECONDS at most.
        """
        preferred = [str(each) for each in problem.get('addresses') or ()]
        if preferred:
            self.prefer(preferred)
            return
        self.move_to_end(address)
        pause = float(problem.get('retry_after_seconds') or RETRY_DELAY_SECONDS)
        await curio.sleep(min(pause, MAX_RETRY_DELAY_SECONDS))

    async def read_stream(
        self, record: StreamRecord, address: str, stream: ClientStream
    ) -> None:
        """Record events until the end, an error, a close or a time-out."""
        parser = EventParser()
        try:
            while not record.settled:
                async with curio.timeout_after(self.silence_seconds):
                    chunk = await stream.read()
                if not chunk:
                    break
                now = boot_seconds()
                for event in parser.feed(chunk):
                    record_event(record, event, now)
        except (OSError, EOFError, curio.TaskTimeout) as error:
            record.breaks.append(f'{address}: {type(error).__name__}')
        finally:
            await stream.close()
        if not record.settled:
            self.move_to_end(address)

    async def resume(self, record: StreamRecord) -> None:
        """Resume the generation at the most preferred address."""
        address = self.address()
        target = (
            f'/v1/generations/{quote_segment(record.resume_token)}'
            f'?workspace={self.workspace}&offset={len(record.tokens)}'
        )
        opened = await create_client(address).open_stream(
            'GET', target, timeout_seconds=ANSWER_SECONDS
        )
        record.resumes += 1
        if not isinstance(opened, Success):
            self.move_to_end(address)
            await curio.sleep(RETRY_DELAY_SECONDS)
            return
        stream = opened.unwrap()
        if stream.status == OK:
            await self.read_stream(record, address, stream)
            return
        await self.record_problem(record, address, stream)
        if record.verdicts[-1].outcome != NOT_RUN:
            record.failed = True

    async def call(
        self, record: CallRecord, *, patience_seconds: float
    ) -> None:
        """Call a service until the answer is final.

        Gives up after `patience_seconds`.
        """
        deadline = boot_seconds() + patience_seconds
        body = orjson.dumps(
            {
                'product': record.product,
                'workspace': self.workspace,
                'operation': 'run',
                'payload': record.payload,
            }
        )
        while boot_seconds() < deadline and not record.ended:
            record.attempts += 1
            await self.attempt_call(record, body)

    async def attempt_call(self, record: CallRecord, body: bytes) -> None:
        """Send the call once and record the answer."""
        address = self.address()
        headers = {
            'content-type': 'application/json',
            'x-request-id': record.request,
        }
        if record.key:
            headers['idempotency-key'] = record.key
        sent_at = boot_seconds()
        answer = await create_client(address).request(
            'POST',
            '/v1/call',
            headers=headers,
            body=body,
            timeout_seconds=ANSWER_SECONDS,
            fresh=True,
        )
        if not isinstance(answer, Success):
            record_failure(record, answer.failure())
            self.move_to_end(address)
            await curio.sleep(RETRY_DELAY_SECONDS)
            return
        payload = answer.unwrap().json()
        outcome = str(payload.get('outcome', LOST))
        record.seconds = boot_seconds() - sent_at
        record.record_answer(
            boot_seconds(),
            outcome,
            str(payload.get('kind', '')),
            str(payload.get('message', '')),
        )
        if outcome in {DONE, REFUSED}:
            record.ended = True
            record.result = payload.get('result')
            return
        if outcome == MAY_HAVE_RUN:
            record.ended = record.unknown_seconds > UNKNOWN_OUTCOME_SECONDS
        await self.redirect_or_wait(address, payload)


def record_failure(record: StreamRecord | CallRecord, error: HttpError) -> None:
    """Record an attempt that received no answer."""
    outcome = UNREACHED if isinstance(error, NotSent) else LOST
    record.record_answer(boot_seconds(), outcome, error.message)


def record_event(record: StreamRecord, event: object, now: float) -> None:
    """Add one event to the record."""
    if isinstance(event, StartEvent):
        record.resume_token = event.resume_token
    elif isinstance(event, TokenEvent):
        record.tokens.append(ReceivedToken(event.offset, event.text, now))
    elif isinstance(event, EventStreamEnd):
        record.told_tokens = event.tokens
        record.record_answer(now, DONE, event.reason)
        record.ended = True
    elif isinstance(event, ErrorEvent):
        record.record_answer(now, event.outcome, event.kind)
        record.failed = event.kind != INTERRUPTED
