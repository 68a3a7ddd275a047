"""Hedged requests: a second run of a late request at another endpoint."""
