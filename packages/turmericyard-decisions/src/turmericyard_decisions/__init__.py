"""Pure decision logic without I/O.

Covers placement, admission, limits, retries, claims and membership.
"""
