"""`turmericyard call`: a small client of the callers' interface.

It asks the nodes which addresses to use, tries another address when a node
fails, retries requests that were not run, and resumes interrupted streams.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

import click
import curio
import orjson
from returns.result import Success

from turmericyard_http.client import ClientStream, create_client
from turmericyard_http.messages import Response, quote_segment
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.session import Session, pass_session

OK = 200
ATTEMPTS = 20
RETRY_PAUSE_SECONDS = 0.3
MAX_RETRY_PAUSE_SECONDS = 5.0
ANSWER_TIMEOUT_SECONDS = 60.0
STREAM_IDLE_TIMEOUT_SECONDS = 8.0
MAX_TOKENS = 4096
EVENT_SEPARATOR = b'\n\n'
EXIT_STATUSES = {
    'not-run': ExitStatus.NOT_RUN,
    'may-have-run': ExitStatus.UNKNOWN,
    'refused': ExitStatus.INVALID,
}


@dataclass(slots=True)
class Progress:
    """A stream as received so far; `ending` is its last event, None before.

    `token` resumes the stream; `offset` counts the tokens received.
    """

    token: str = ''
    offset: int = 0
    ending: dict[str, Any] | None = None


@dataclass(slots=True)
class CallerClient:
    """Sends one request; the address of a node that failed is tried last."""

    workspace: str
    addresses: list[str]
    progress: Progress = field(default_factory=Progress)

    async def refresh_addresses(self) -> None:
        """Put the addresses that a known node names before the known ones."""
        target = f'/v1/addresses?workspace={quote_segment(self.workspace)}'
        for address in tuple(self.addresses):
            result = await create_client(address).request('GET', target)
            if isinstance(result, Success) and result.unwrap().status == OK:
                named = result.unwrap().json()['addresses']
                known = [each for each in self.addresses if each not in named]
                self.addresses = [*named, *known]
                return

    async def post(
        self, target: str, body: bytes, headers: dict[str, str]
    ) -> Response:
        """Return the final response, retrying a request that was not run.

        The status is 0 when no node answered.
        """
        response: Response = Response(0)
        for _ in range(ATTEMPTS):
            client = create_client(self.addresses[0])
            result = await client.request(
                'POST',
                target,
                headers=headers,
                body=body,
                timeout_seconds=ANSWER_TIMEOUT_SECONDS,
                fresh=True,
            )
            if isinstance(result, Success):
                response = result.unwrap()
                if response.headers.get('x-outcome') != 'not-run':
                    return response
                await self.apply_refusal(response.json())
            else:
                await self.try_next_address()
        return response

    async def apply_refusal(self, problem: dict[str, Any]) -> None:
        """Use the addresses that a refusal names, else wait as it says."""
        named = problem.get('addresses') or []
        if named:
            known = [each for each in self.addresses if each not in named]
            self.addresses = [*named, *known]
            return
        pause = float(problem.get('retry_after_seconds') or RETRY_PAUSE_SECONDS)
        await curio.sleep(min(pause, MAX_RETRY_PAUSE_SECONDS))

    async def try_next_address(self) -> None:
        """Move the first address to the end, and pause before the retry."""
        self.addresses.append(self.addresses.pop(0))
        await curio.sleep(RETRY_PAUSE_SECONDS)

    async def stream(self, body: bytes, headers: dict[str, str]) -> None:
        """Print a generation as it arrives; resume it when interrupted."""
        for _ in range(ATTEMPTS):
            stream = await self.open_stream(body, headers)
            if stream is not None:
                await self.read_events(stream)
            if self.progress.ending is not None:
                return
            await self.try_next_address()

    async def open_stream(
        self, body: bytes, headers: dict[str, str]
    ) -> ClientStream | None:
        """Start the generation, or resume it at the offset received so far.

        Returns None when no stream was opened.
        """
        client = create_client(self.addresses[0])
        if self.progress.token:
            opened = await client.open_stream(
                'GET',
                f'/v1/generations/{self.progress.token}'
                f'?workspace={quote_segment(self.workspace)}'
                f'&offset={self.progress.offset}',
            )
        else:
            opened = await client.open_stream(
                'POST',
                '/v1/generate',
                headers=headers,
                body=body,
                timeout_seconds=ANSWER_TIMEOUT_SECONDS,
            )
        if not isinstance(opened, Success):
            return None
        stream: ClientStream = opened.unwrap()
        if stream.status == OK:
            return stream
        await self.handle_problem(stream)
        return None

    async def handle_problem(self, stream: ClientStream) -> None:
        """Prepare the retry of a request not run; other problems are final."""
        problem = orjson.loads(await stream.read_all(ANSWER_TIMEOUT_SECONDS))
        await stream.close()
        if problem['outcome'] == 'not-run':
            await self.apply_refusal(problem)
        else:
            self.progress.ending = problem

    async def read_events(self, stream: ClientStream) -> None:
        """Handle events until the last one, an interruption or the time-out."""
        pending = b''
        try:
            while self.progress.ending is None:
                async with curio.timeout_after(STREAM_IDLE_TIMEOUT_SECONDS):
                    chunk = await stream.read()
                if not chunk:
                    return
                *events, pending = (pending + chunk).split(EVENT_SEPARATOR)
                for event in events:
                    self.handle_event(event)
        except (OSError, EOFError, curio.TaskTimeout):
            return
        finally:
            await stream.close()

    def handle_event(self, event: bytes) -> None:
        """Handle one event."""
        name, payload = parse_event(event)
        if name == 'start':
            self.progress.token = payload['resume']
        elif name in {'done', 'error'}:
            self.progress.ending = payload
        elif payload and payload['offset'] == self.progress.offset:
            self.progress.offset += 1
            click.echo(payload['text'], nl=False)


def parse_event(event: bytes) -> tuple[str, dict[str, Any]]:
    """Return the name and the payload of an event; both empty for a comment."""
    name = ''
    payload: dict[str, Any] = {}
    for key, text in event_lines(event):
        if key == 'event':
            name = text
        elif key == 'data':
            payload = orjson.loads(text)
    return name, payload


def event_lines(event: bytes) -> Iterator[tuple[str, str]]:
    """Yield field name and value of each line of an event."""
    for line in event.decode().split('\n'):
        key, _, text = line.partition(': ')
        yield key, text


@click.command()
@click.argument('product')
@click.argument('workspace')
@click.option('--prompt', help='Prompt of the generation to request.')
@click.option('--operation', help='Operation of a service to call.')
@click.option(
    '--payload', default='null', help='Payload of the operation, as JSON.'
)
@click.option('--key', help='Idempotency key; generated if not given.')
@click.option('--max-tokens', default=MAX_TOKENS, show_default=True)
@pass_session
def call(  # noqa: WPS211
    session: Session,
    product: str,
    workspace: str,
    prompt: str | None,
    operation: str | None,
    payload: str,
    key: str | None,
    max_tokens: int,
) -> None:
    """Send one request as a caller and print its answer."""
    if (prompt is None) == (operation is None):
        fail(ExitStatus.USAGE, 'pass exactly one of --prompt and --operation')
    addresses = list(session.settings.callers)
    if not addresses:
        fail(
            ExitStatus.USAGE,
            "no callers' address of a node given: pass --caller IP:PORT or set "
            '[operator] callers',
        )
    caller = CallerClient(workspace, addresses)
    headers = {'idempotency-key': key or uuid4().hex}
    body: dict[str, Any] = {'product': product, 'workspace': workspace}
    if prompt is not None:
        body |= {'prompt': prompt, 'max_tokens': max_tokens}
        ending = curio.run(send_stream, caller, body, headers)
        exit_with_outcome(session, ending)
        return
    try:
        body |= {'operation': operation, 'payload': orjson.loads(payload)}
    except orjson.JSONDecodeError as error:
        fail(
            ExitStatus.USAGE,
            f'--payload is not valid JSON ({error}): correct it',
        )
    exit_with_outcome(session, curio.run(send_call, caller, body, headers))


async def send_stream(
    caller: CallerClient, body: dict[str, Any], headers: dict[str, str]
) -> dict[str, Any]:
    """Return the last event of a generation, or a failure without one."""
    await caller.refresh_addresses()
    await caller.stream(orjson.dumps(body), headers)
    return caller.progress.ending or {'outcome': 'failed'}


async def send_call(
    caller: CallerClient, body: dict[str, Any], headers: dict[str, str]
) -> dict[str, Any]:
    """Return the decoded answer to a call."""
    await caller.refresh_addresses()
    response = await caller.post('/v1/call', orjson.dumps(body), headers)
    if not response.status:
        return {
            'outcome': 'failed',
            'message': f'no node answered in {ATTEMPTS} attempts: check that '
            'the addresses passed with --caller can be reached',
        }
    decoded: dict[str, Any] = response.json()
    return decoded


def exit_with_outcome(session: Session, ending: dict[str, Any]) -> None:
    """Print the last event; exit with an error unless its outcome is `done`."""
    text = orjson.dumps(ending).decode()
    session.show(ending, f'\n{text}')
    outcome = ending.get('outcome', 'done')
    if outcome != 'done':
        fail(
            EXIT_STATUSES.get(outcome, ExitStatus.FAILED),
            str(ending.get('message', outcome)),
        )
