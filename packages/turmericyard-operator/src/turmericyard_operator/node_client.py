"""Client of the nodes' interface for operators."""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from turmericyard_http.client import create_client

UNAUTHORIZED = 401
OK = 200
TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class NodeUnreachable:
    """The node did not answer, or answered with an error status."""

    address: str
    detail: str

    @property
    def message(self) -> str:
        """Return which node failed and why."""
        return f'node {self.address}: {self.detail}'


async def ask_node(
    address: str, target: str, token: str
) -> Result[bytes, NodeUnreachable]:
    """Return the body of a GET response of a node's operators' interface."""
    client = create_client(address)
    result = await client.request(
        'GET',
        target,
        headers={'authorization': f'Bearer {token}'},
        timeout_seconds=TIMEOUT_SECONDS,
    )
    await client.close()
    if not isinstance(result, Success):
        return Failure(NodeUnreachable(address, result.failure().message))
    response = result.unwrap()
    if response.status == UNAUTHORIZED:
        return Failure(
            NodeUnreachable(
                address, 'token refused (status 401): check --token-file'
            )
        )
    if response.status != OK:
        return Failure(
            NodeUnreachable(address, f'answered with status {response.status}')
        )
    body: bytes = response.body
    return Success(body)


async def ask_all(
    addresses: tuple[str, ...], target: str, token: str
) -> tuple[dict[str, bytes], list[NodeUnreachable]]:
    """Return the bodies by address, and the nodes that gave none."""
    answers: dict[str, bytes] = {}
    missing: list[NodeUnreachable] = []
    for address in addresses:
        result: Any = await ask_node(address, target, token)
        if isinstance(result, Success):
            answers[address] = result.unwrap()
        else:
            missing.append(result.failure())
    return answers, missing
