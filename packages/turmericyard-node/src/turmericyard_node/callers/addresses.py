"""Node addresses for callers: live nodes, own zone first, by workspace."""

from http import HTTPStatus
from typing import TYPE_CHECKING

import xxhash

from turmericyard_http.messages import Request, Response, json_response

if TYPE_CHECKING:
    from turmericyard_node.application import Application

MAX_ADDRESSES = 5


def live_addresses(application: 'Application', workspace: str) -> list[str]:
    """Return at most MAX_ADDRESSES caller addresses, the preferred one first.

    Only live nodes of zones in service are listed. Nodes of this node's zone
    come first; a hash of the workspace and the node orders them, which
    distributes workspaces over the nodes.
    """
    own_zone = application.settings.node.zone
    excluded_zones = application.configuration.current.zones_out
    members = [
        member
        for member in application.membership.live(application.clock())
        if member.zone not in excluded_zones
    ]
    members.sort(
        key=lambda member: (
            member.zone != own_zone,
            xxhash.xxh64_intdigest(f'{workspace}\0{member.node}'.encode()),
        )
    )
    return [member.caller_address for member in members[:MAX_ADDRESSES]]


def answer_addresses(application: 'Application', request: Request) -> Response:
    """Answer with the addresses and how long a caller may cache them."""
    workspace = request.query.get('workspace', '')
    return json_response(
        HTTPStatus.OK,
        {
            'addresses': live_addresses(application, workspace),
            'ttl_seconds': application.settings.timing.address_ttl_seconds,
        },
    )
