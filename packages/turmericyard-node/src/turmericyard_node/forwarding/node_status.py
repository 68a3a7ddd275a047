"""Requests about the node itself: readiness, addresses, members, metrics."""

from dataclasses import dataclass

import orjson

from turmericyard_http.answer_writer import Answer
from turmericyard_http.messages import Request, Response
from turmericyard_node.forwarding.discovery import MEMBERS_PATH
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.rollout.rollouts import Rollouts
from turmericyard_ports.border import PlatformAdapter

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
METRICS_PATH = '/metrics'
ROLLOUTS_PATH = '/rollouts'


@dataclass(slots=True)
class NodeStatusHandler:
    """Answers the platform, clients that request addresses, and peers."""

    platform_adapter: PlatformAdapter
    fleet: Fleet
    address_ttl_seconds: float
    instruments: Instruments
    rollouts: Rollouts

    async def answer(self, request: Request) -> Answer:
        """Return the answer to a request about the node."""
        if request.path == MEMBERS_PATH:
            records = b','.join(self.fleet.membership.records())
            return Response(OK, {}, b'[%s]' % records)
        if request.path == METRICS_PATH:
            rendered = await self.instruments.render()
            return Response(OK, {'content-type': 'text/plain'}, rendered)
        if request.path == ROLLOUTS_PATH:
            return Response(OK, {}, orjson.dumps(self.rollouts.describe()))
        kind = self.platform_adapter.classify_status_request(request)
        if kind == 'addresses':
            zone = self.platform_adapter.requested_zone(request)
            return self.platform_adapter.directory_response(
                self.fleet.addresses(zone), self.address_ttl_seconds
            )
        if kind == 'ready':
            ready = self.fleet.is_ready()
            status = OK if ready else UNAVAILABLE
            return Response(status, {}, orjson.dumps({'ready': ready}))
        return self.platform_adapter.refusal(
            NOT_FOUND, 'nothing is served here'
        )
