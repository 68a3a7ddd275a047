"""The fleet-wide admission queue: at the hub, and at nodes that wait there."""
