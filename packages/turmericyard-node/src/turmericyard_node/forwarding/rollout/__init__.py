"""Roll-outs of versions: orders, exposure, counts, and the deciding hub.

docs/design/rollouts.md has the design.
"""
