"""Roll-outs on the node's status page."""

from typing import Any

from turmericyard_decisions.version_comparison import VersionComparison
from turmericyard_node.forwarding.rollout.decider import RolloutDecider
from turmericyard_node.forwarding.rollout.registry import Rollout


def describe(decider: RolloutDecider) -> list[dict[str, Any]]:
    """Return each roll-out, its stage and its evidence as JSON values."""
    return [
        describe_rollout(decider, service, rollout)
        for service, rollout in decider.registry.rollouts.items()
    ]


def describe_rollout(
    decider: RolloutDecider, service: str, rollout: Rollout
) -> dict[str, Any]:
    """Return one roll-out; sums of the fleet are known at hubs only."""
    key = (service, rollout.revision)
    now = decider.clock()
    counts = decider.ledger.orders.get(key)
    comparison = decider.comparisons.get(key) or VersionComparison()
    evidence = comparison.evidence()
    budget = rollout.counts.budget
    members = set(decider.fleet.membership.members)
    return {
        'service': service,
        'to': rollout.order.version,
        'duration_seconds': rollout.order.seconds,
        'age_seconds': round(now - rollout.seen_at, 1),
        'stage': rollout.stage.name.lower() if rollout.stage else 'waiting',
        'reason': rollout.stored.reason if rollout.stored else '',
        'withdrawn': rollout.withdrawn,
        'stopped_here': rollout.stopped,
        'sent_here': budget.sent,
        'sent_here_to_new': budget.sent_new,
        'is_hub': decider.fleet.hub_choice.is_hub(),
        'sent': counts.sent()[0] if counts else None,
        'sent_to_new': counts.sent()[1] if counts else None,
        # These may be of form 1: they count as if each used its whole part.
        'nodes_without_counts': sorted(members - counts.nodes())
        if counts
        else None,
        'good': evidence.good,
        'bad': evidence.bad,
        'suspicion': round(evidence.suspicion, 3),
        'suspicious_route': evidence.route,
    }
