"""Experiments with the policy under load, on a virtual clock.

They run the product's own decision code against a few engine models; nodes,
network connections and stores are not modelled. All random draws are seeded,
so that a run gives the same figures every time.
"""
