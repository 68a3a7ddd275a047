"""What all commands use: settings, output format, store and nodes."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import orjson
from returns.result import Success

from turmericyard_clients.http_store import open_http_store
from turmericyard_clients.store import Store
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.settings import OperatorSettings

MEMBERS_PREFIX = 'turmericyard/members/'
JSON = 'json'


@dataclass(frozen=True, slots=True)
class Session:
    """One run of the command; `output` is `text` or `json`."""

    settings: OperatorSettings
    output: str

    def store(self) -> Store:
        """Return the platform's store; exits with an error when not set."""
        if not self.settings.store:
            fail(
                ExitStatus.USAGE,
                'no store address given: pass --store IP:PORT or set '
                '[platform] store',
            )
        return open_http_store(self.settings.store)

    def token(self) -> str:
        """Return the operators' token; exits with an error without one."""
        if not self.settings.token_file:
            fail(
                ExitStatus.USAGE,
                'no token file given: pass --token-file or set [operator] '
                'token_file',
            )
        try:
            return Path(self.settings.token_file).read_text('utf-8').strip()
        except OSError as error:
            fail(
                ExitStatus.USAGE,
                f'cannot read the token file {self.settings.token_file} '
                f'({error.strerror}): pass a readable file with --token-file',
            )

    async def node_addresses(self) -> tuple[str, ...]:
        """Return the operators' addresses given, else those of all members."""
        if self.settings.nodes:
            return self.settings.nodes
        listed = await self.store().list_prefix(MEMBERS_PREFIX)
        if not isinstance(listed, Success):
            fail(
                ExitStatus.UNAVAILABLE,
                f'cannot list the nodes: {listed.failure().message}, or pass '
                'their addresses with --node',
            )
        members = [
            orjson.loads(entry.value) for entry in listed.unwrap().entries
        ]
        return tuple(member['operator_address'] for member in members)

    def show(self, payload: Any, text: str) -> None:
        """Print the payload as JSON, or the text."""
        if self.output == JSON:
            click.echo(orjson.dumps(payload, default=str).decode())
        elif text:
            click.echo(text)


pass_session = click.make_pass_decorator(Session)
