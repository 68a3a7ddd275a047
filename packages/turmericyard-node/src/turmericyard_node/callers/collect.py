"""Collects a complete generation for a caller that wants no stream."""

import orjson

from turmericyard_clients.engine_events import Done
from turmericyard_http.messages import Response
from turmericyard_node.callers.answers import (
    Outcome,
    Problem,
    done_response,
    problem_response,
)
from turmericyard_node.callers.relay import Relay


async def collect_answer(relay: Relay, request: str) -> Response:
    """Return the complete answer, or the problem that ended the generation."""
    relay.application.streams.add(relay)
    parts = [relay.accept_initial()]
    try:
        while relay.ending is None:
            parts.append(await relay.next_chunk())
    finally:
        await relay.close()
    if isinstance(relay.ending, Problem):
        return problem_response(relay.ending, request)
    return done_response(complete_payload(relay, parts, request), request)


def complete_payload(
    relay: Relay, parts: list[bytes], request: str
) -> dict[str, object]:
    """Return the JSON object of a complete generation."""
    reason = relay.ending.reason if isinstance(relay.ending, Done) else ''
    return {
        'request': request,
        'outcome': Outcome.DONE.value,
        'text': ''.join(token_texts(b''.join(parts))),
        'tokens': relay.next_offset,
        'reason': reason,
    }


def token_texts(raw: bytes) -> list[str]:
    """Return the texts of raw token events."""
    prefix = b'data: '
    return [
        orjson.loads(line[len(prefix) :])['text']
        for line in raw.split(b'\n')
        if line.startswith(prefix)
    ]
