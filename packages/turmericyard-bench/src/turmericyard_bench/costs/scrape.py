"""Reads the metrics of nodes and the numbers of calls to the store."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from http.client import HTTPConnection

from prometheus_client.parser import text_string_to_metric_families

from turmericyard_bench.deployment import Deployment, NodeProcess
from turmericyard_bench.launch import LOOPBACK
from turmericyard_bench.node_settings import OPERATOR_TOKEN

TIMEOUT_SECONDS = 10
STORE_CALL_KINDS = ('reads', 'writes', 'watches')


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Control traffic of all nodes since their start, summed."""

    peer_bytes: float
    peer_messages: float
    store_calls: float


def read_metrics(node: NodeProcess) -> Counter[str]:
    """Return the sum of the samples of each name at a node.

    Raises OSError when the node does not answer.
    """
    connection = HTTPConnection(
        LOOPBACK, node.ports.operator, timeout=TIMEOUT_SECONDS
    )
    try:
        connection.request(
            'GET',
            '/metrics',
            headers={'authorization': f'Bearer {OPERATOR_TOKEN}'},
        )
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    totals: Counter[str] = Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            totals[sample.name] += sample.value  # type: ignore[assignment]
    return totals


def sum_metric(nodes: Sequence[NodeProcess], name: str) -> float:
    """Return the sum of a counter over the nodes; raises OSError."""
    return float(sum(read_metrics(node)[name] for node in nodes))


def read_control_traffic(deployment: Deployment) -> ControlTraffic:
    """Return the control traffic of all running nodes; raises OSError."""
    nodes = deployment.running_nodes()
    counts_by_second = deployment.store.ledger()['seconds'].values()
    calls = sum(
        counts[kind] for counts in counts_by_second for kind in STORE_CALL_KINDS
    )
    return ControlTraffic(
        sum_metric(nodes, 'turmericyard_peer_sent_bytes_total'),
        sum_metric(nodes, 'turmericyard_peer_messages_total'),
        float(calls),
    )
