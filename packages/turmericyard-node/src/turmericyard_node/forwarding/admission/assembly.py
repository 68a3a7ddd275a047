"""Creates both sides of the admission queue of a node."""

from functools import partial

import curio

from turmericyard_node.forwarding.admission.granted_places import GrantedPlaces
from turmericyard_node.forwarding.admission.hub_load import HubLoad
from turmericyard_node.forwarding.admission.hub_queue import HubQueue
from turmericyard_node.forwarding.admission.node_queue import (
    HUB_SECONDS,
    NodeQueue,
)
from turmericyard_node.forwarding.admission.offers import Offers
from turmericyard_node.forwarding.admission.receiver import QueueReceiver
from turmericyard_node.forwarding.admission.waiting_requests import (
    WaitingRequests,
)
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_protocol.fleet_messages import PlaceEnd, QueueLeave


def create_node_queue(fleet: Fleet, selector: EndpointSelector) -> NodeQueue:
    """Return the node's side of the queue, which has the hub's side."""
    waiting = WaitingRequests()
    hub_queue = HubQueue(
        fleet.own.node,
        Offers(fleet.own.node, fleet.mesh, waiting.take),
        selector,
        GrantedPlaces(fleet.hub),
        fleet.clock,
        HubLoad(fleet, fleet.clock()),
    )
    fleet.mesh.receiver = QueueReceiver(fleet, hub_queue, waiting).answer
    return NodeQueue(
        fleet,
        selector,
        hub_queue,
        waiting,
        fleet.clock,
        partial(post, fleet, hub_queue),
    )


async def post(
    fleet: Fleet, hub_queue: HubQueue, node: str, message: QueueLeave | PlaceEnd
) -> None:
    """Send a message to a hub in the background; lost ones expire there."""
    if node == fleet.own.node:
        deliver_own(hub_queue, node, message)
    else:
        await fleet.mesh.tasks.spawn(send, fleet, node, message)


def deliver_own(
    hub_queue: HubQueue, node: str, message: QueueLeave | PlaceEnd
) -> None:
    """Pass a message of this node to its own queue."""
    if isinstance(message, QueueLeave):
        hub_queue.leave(node, message)
    else:
        hub_queue.end(node, message)


async def send(fleet: Fleet, node: str, message: QueueLeave | PlaceEnd) -> None:
    """Send a message on a link that is open, or soon is."""
    async with curio.ignore_after(HUB_SECONDS):
        await fleet.mesh.send(node, message)
