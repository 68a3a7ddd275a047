"""Status of a node and of the fleet as the node sees it, for operators."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from turmericyard_node.application import Application
    from turmericyard_tables.models import Endpoint


def node_status(application: 'Application') -> dict[str, Any]:
    """Return the status of a node as JSON values."""
    now = application.clock()
    configuration = application.configuration.current
    return {
        'node': application.identity.node,
        'zone': application.settings.node.zone,
        'incarnation': application.identity.incarnation,
        'revision': configuration.revision,
        'view_epoch': application.permits.views.epoch,
        'draining': application.draining,
        'isolated': application.contact.is_isolated(now),
        'store_age_seconds': round(
            now - application.contact.last_store_contact_at, 3
        ),
        'members': [
            {
                'node': member.node,
                'zone': member.zone,
                'incarnation': member.incarnation,
                'state': member.state,
                'live': application.membership.is_live(member.node, now),
            }
            for member in application.membership.members.values()
        ],
        'endpoints': [
            endpoint_status(application, endpoint, now)
            for endpoint in configuration.endpoints.values()
        ],
        'zones_out': configuration.zones_out,
        'vms_out': configuration.vms_out,
        'streams': len(application.streams),
        'queued': len(application.dispatcher.queue),
    }


def endpoint_status(
    application: 'Application', endpoint: 'Endpoint', now: float
) -> dict[str, Any]:
    """Return the status of one endpoint; only its owner knows its load."""
    owner = application.permits.owner(endpoint.name)
    state = application.permits.endpoint_states.get(endpoint.name)
    pool = application.configuration.current.pools[endpoint.pool]
    bound = None
    running = None
    if state is not None and owner == application.identity.node:
        load = state.load(now)
        bound = load.bound
        running = load.running
    in_service = application.configuration.current.in_service(endpoint)
    return {
        'name': endpoint.name,
        'pool': endpoint.pool,
        'zone': endpoint.zone,
        'vm': endpoint.vm,
        'owner': owner,
        'warm': None if bound is None else bound > pool.cold_limit,
        'bound': bound,
        'limit': pool.limit,
        'running': running,
        'state': 'in service' if in_service else 'out of service',
    }
