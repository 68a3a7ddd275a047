"""Gauges of a forwarding node, whose values are read at each scrape."""

from importlib import import_module
from typing import Any

from turmericyard_node.forwarding.admission.queue_gauges import (
    register_queue,
)
from turmericyard_node.forwarding.application import ForwardingApplication
from turmericyard_node.forwarding.balancing.endpoint_paces import EndpointPaces
from turmericyard_node.forwarding.clients.gauges import register_client_gauges
from turmericyard_node.forwarding.instruments import Exporter

PREFIX = 'turmericyard.forwarding'


def create_exporter(application: ForwardingApplication) -> Exporter:
    """Load the exporter module and return an exporter with all gauges."""
    module = import_module('turmericyard_node.forwarding.exporter')
    exporter: Exporter = module.create_exporter()
    register_gauges(application, exporter.gauges)
    return exporter


def register_gauges(application: ForwardingApplication, gauges: Any) -> None:
    """Register the values that are read at each scrape."""
    gauges.gauge(
        f'{PREFIX}.open_requests',
        '{request}',
        lambda: application.request_handler.open_requests,
    )
    gauges.gauge(
        f'{PREFIX}.waiting', '{request}', lambda: len(application.room.waiters)
    )
    gauges.gauge(
        f'{PREFIX}.endpoints',
        '{endpoint}',
        lambda: len(application.platform_state.registry.endpoints),
    )
    gauges.gauge(
        f'{PREFIX}.view_revision',
        '1',
        lambda: application.platform_state.view.revision,
    )
    gauges.gauge(
        f'{PREFIX}.view_era', '1', lambda: application.platform_state.view.era
    )
    gauges.gauge(
        f'{PREFIX}.store_age',
        's',
        lambda: application.clock() - application.contact.last_store_contact_at,
    )
    gauges.counter(
        f'{PREFIX}.full_replies',
        '{reply}',
        lambda: application.fleet.hub.delivery.full_replies,
    )
    register_paths(application, gauges)
    register_paces(application.fleet.paces, gauges)
    register_queue(application.room.placement.queue.hub_queue, gauges)
    register_client_gauges(application.client_bounds, gauges)
    gauges.counter(
        f'{PREFIX}.loop_stalls', '{stall}', lambda: application.stalls.stalls
    )


def register_paces(paces: EndpointPaces, gauges: Any) -> None:
    """Register what was learned of the speeds of endpoints."""
    gauges.gauge_by(
        f'{PREFIX}.engine_speed', '1', 'endpoint', paces.learned_speeds
    )
    gauges.counter(f'{PREFIX}.refused_paces', '{report}', lambda: paces.refused)


def register_paths(application: ForwardingApplication, gauges: Any) -> None:
    """Register what tells of paths that lead through peers."""
    fleet = application.fleet
    gauges.gauge(f'{PREFIX}.cut_off', '1', lambda: int(fleet.paths.is_cut_off))
    gauges.gauge(
        f'{PREFIX}.open_tunnels', '{tunnel}', lambda: fleet.tunnels.open_tunnels
    )
    gauges.counter(
        f'{PREFIX}.relayed_connections',
        '{connection}',
        lambda: fleet.paths.relayed,
    )
