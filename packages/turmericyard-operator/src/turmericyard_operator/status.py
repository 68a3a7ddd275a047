"""`turmericyard status` and `turmericyard explain`."""

import time
from typing import Any

import click
import curio
import orjson

from turmericyard_http.messages import quote_segment
from turmericyard_operator.exits import ExitStatus, fail
from turmericyard_operator.node_client import NodeUnreachable, ask_all
from turmericyard_operator.session import Session, pass_session

WATCH_SECONDS = 2.0
ENDPOINT_LINE = '  {name:16}{pool:18}{zone:10}{owner:12}{load:>10}  {state}'


@click.command()
@click.option('--watch', is_flag=True, help='Print again every 2 seconds.')
@pass_session
def status(session: Session, watch: bool) -> None:  # noqa: FBT001
    """Show nodes, revisions in force, endpoints and what is out of service."""
    while True:
        answers, missing = curio.run(ask_nodes, session, '/status')
        if not answers:
            fail_unreachable(missing)
        nodes = [orjson.loads(body) for body in answers.values()]
        unreachable = [each.message for each in missing]
        session.show(
            {'nodes': nodes, 'unreachable': unreachable},
            status_text(nodes, unreachable),
        )
        if not watch:
            return
        time.sleep(WATCH_SECONDS)


@click.command()
@click.argument('request_id')
@pass_session
def explain(session: Session, request_id: str) -> None:
    """Show the decisions on one request, as recorded by all nodes."""
    target = f'/explain/{quote_segment(request_id)}'
    answers, missing = curio.run(ask_nodes, session, target)
    if not answers:
        fail_unreachable(missing)
    steps = merge_steps([orjson.loads(body) for body in answers.values()])
    if not steps:
        fail(
            ExitStatus.FAILED,
            f'no node has records of request {request_id}: check the id; the '
            'request may be too old, or its node may have stopped',
        )
    session.show(
        {
            'request': request_id,
            'steps': steps,
            'unreachable': [each.message for each in missing],
        },
        '\n'.join(step_text(step, steps[0]['at']) for step in steps),
    )


async def ask_nodes(
    session: Session, target: str
) -> tuple[dict[str, bytes], list[NodeUnreachable]]:
    """Return the answers of all nodes, and the nodes that gave none."""
    addresses = await session.node_addresses()
    return await ask_all(addresses, target, session.token())


def fail_unreachable(missing: list[NodeUnreachable]) -> None:
    """Exit with an error because no node answered."""
    details = (
        '; '.join(each.message for each in missing)
        or 'none is listed in the store, pass addresses with --node'
    )
    fail(ExitStatus.UNAVAILABLE, f'no node answered: {details}')


def status_text(nodes: list[dict[str, Any]], unreachable: list[str]) -> str:
    """Return the status of all nodes as text."""
    lines = ['nodes']
    lines.extend(node_text(node) for node in nodes)
    lines.extend(f'  {text}' for text in unreachable)
    lines.append('endpoints')
    lines.extend(endpoint_lines(nodes))
    for title in ('zones_out', 'vms_out'):
        marks = nodes[0][title]
        lines.extend(
            f'{title[:-5]} {name} out since {time.ctime(mark["since"])}'
            for name, mark in marks.items()
        )
    return '\n'.join(lines)


def node_text(node: dict[str, Any]) -> str:
    """Return one node as a line."""
    states = [state for state in ('draining', 'isolated') if node.get(state)]
    return (
        f'  {node["node"]:12}{node["zone"]:10}revision {node["revision"]}  '
        f'{node["streams"]} streams  {node.get("queued", 0)} queued  '
        f'{" ".join(states) or "serving"}'
    )


def endpoint_lines(nodes: list[dict[str, Any]]) -> list[str]:
    """Return one line for each endpoint, as its owner reports it.

    Another node's report is used when the owner did not answer.
    """
    rows: dict[str, dict[str, Any]] = {}
    for node in nodes:
        for row in node['endpoints']:
            owned = row['owner'] == node['node']
            if owned or row['name'] not in rows:
                rows[row['name']] = row
    return [endpoint_text(rows[name]) for name in sorted(rows)]


def endpoint_text(row: dict[str, Any]) -> str:
    """Return one endpoint as a line, its load as running/bound/limit."""
    load = '?'
    if row['running'] is not None:
        load = f'{row["running"]}/{row["bound"]}/{row["limit"]}'
    return ENDPOINT_LINE.format(
        name=row['name'],
        pool=row['pool'],
        zone=row['zone'],
        owner=row['owner'] or '?',
        load=load,
        state=row['state'],
    )


def merge_steps(answers: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the steps of all answers in order of time, without duplicates."""
    unique = {
        orjson.dumps(step): step
        for answer in answers
        for step in answer['steps']
    }
    return sorted(unique.values(), key=lambda step: float(step['at']))


def step_text(step: dict[str, Any], begin: float) -> str:
    """Return one step as a line, with the seconds since the first step."""
    elapsed = step['at'] - begin
    details = orjson.dumps(step['details']).decode()
    return f'{elapsed:9.3f} s  {step["node"]:12}{step["step"]:16}{details}'
