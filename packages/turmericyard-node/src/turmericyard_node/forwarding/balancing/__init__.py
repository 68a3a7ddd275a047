"""Balances requests by the speeds of endpoints, as learned from responses."""
