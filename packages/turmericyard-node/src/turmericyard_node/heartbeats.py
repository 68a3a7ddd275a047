"""Heartbeats to peers, with revisions and gossip about other peers."""

from typing import TYPE_CHECKING

import curio
from returns.result import Success

from turmericyard_decisions.liveness import (
    HeartbeatPlan,
    choose_peers,
    plan_heartbeats,
    select_gossip,
)
from turmericyard_node.clock import sleep_to_tick
from turmericyard_node.peers.dispatch import handle_message
from turmericyard_protocol.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Heartbeat,
    MembersReply,
    MembersRequest,
)

if TYPE_CHECKING:
    from turmericyard_node.application import Application

#: Time that a peer has to answer, in heartbeat intervals.
REPLY_TIMEOUT_INTERVALS = 2


def create_heartbeat(application: 'Application') -> Heartbeat:
    """Return a heartbeat with this node's state and gossip about peers."""
    plan = current_heartbeat_plan(application)
    gossip = select_gossip(
        application.contact.peer_contact_times,
        plan,
        application.clock(),
        application.candidates.random,
    )
    return Heartbeat(
        application.configuration.current.revision,
        application.membership.own.state,
        application.permits.views.epoch,
        tuple(sorted(application.candidates.leaving_vms.listed)),
        gossip,
    )


def current_heartbeat_plan(application: 'Application') -> HeartbeatPlan:
    """Return the heartbeat plan for the number of known peers."""
    timing = application.settings.timing
    return plan_heartbeats(
        len(application.mesh.addresses) - 1,
        timing.heartbeat_seconds,
        timing.isolation_seconds,
    )


async def run_heartbeats(application: 'Application') -> None:
    """Exchange heartbeats with chosen peers until cancelled."""
    while True:
        known = application.peer_addresses()
        plan = current_heartbeat_plan(application)
        application.contact.peer_timeout_seconds = plan.peer_timeout_seconds
        peers = [node for node in known if node != application.identity.node]
        chosen = choose_peers(peers, plan, application.candidates.random)
        async with curio.TaskGroup() as group:
            for node in chosen:
                await group.spawn(exchange_heartbeat, application, node)
        await sleep_to_tick(plan.interval_seconds)


async def exchange_heartbeat(application: 'Application', node: str) -> None:
    """Send a heartbeat and process the peer's reply."""
    timing = application.settings.timing
    timeout = timing.heartbeat_seconds * REPLY_TIMEOUT_INTERVALS
    asked_at = application.clock()
    reply = await application.mesh.request(
        node, create_heartbeat(application), timeout
    )
    if isinstance(reply, Success) and isinstance(reply.unwrap(), Heartbeat):
        application.contact.record_peer_contact(node, asked_at)
        await process_heartbeat(application, node, reply.unwrap(), asked_at)
    else:
        application.contact.record_peer_failure(node, application.clock())
        application.candidates.leaving_vms.forget_peer(node)
        await application.mesh.drop(node)


async def process_heartbeat(
    application: 'Application', node: str, heartbeat: Heartbeat, at: float
) -> None:
    """Apply a peer's heartbeat; fetch the records that are newer at the peer.

    `at` is when the heartbeat was received, or requested if it is a reply, in
    seconds of the boot clock.
    """
    application.membership.observe_state(node, heartbeat.state)
    application.contact.record_gossip(heartbeat.rumours, at)
    application.candidates.leaving_vms.observe_peer(
        node, frozenset(heartbeat.leaving_vms)
    )
    if node not in application.membership.members:
        await fetch_members(application, node)
    if heartbeat.revision > application.configuration.current.revision:
        await fetch_configuration(application, node)
    if heartbeat.view_epoch > application.permits.views.epoch:
        await application.permits.views.fetch(node)


async def fetch_members(application: 'Application', node: str) -> None:
    """Request the known members from a peer that is not one of them."""
    reply = await application.mesh.request(node, MembersRequest())
    found = reply.value_or(None)
    if isinstance(found, MembersReply):
        application.membership.add_unknown(found.records)


async def fetch_configuration(application: 'Application', node: str) -> None:
    """Ask a peer for its configuration and use it if it is newer."""
    known = application.configuration.current.revision
    reply = await application.mesh.request(node, ConfigurationRequest(known))
    found = reply.value_or(None)
    if isinstance(found, ConfigurationReply) and found.value:
        await application.configuration.offer(found.value, found.revision)


@handle_message.register(Heartbeat)
async def answer_heartbeat(
    message: Heartbeat, sender: str, application: 'Application'
) -> Heartbeat:
    """Process a peer's heartbeat and return this node's."""
    await process_heartbeat(application, sender, message, application.clock())
    return create_heartbeat(application)


@handle_message.register(MembersRequest)
async def answer_members(
    message: MembersRequest, sender: str, application: 'Application'
) -> MembersReply:
    """Return the records of all known members."""
    return MembersReply(application.membership.records())


@handle_message.register(ConfigurationRequest)
async def answer_configuration(
    message: ConfigurationRequest, sender: str, application: 'Application'
) -> ConfigurationReply:
    """Return the configuration in force."""
    service = application.configuration
    return ConfigurationReply(service.current.revision, service.value)
