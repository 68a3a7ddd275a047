"""Bounds on what all clients of a node together may take."""
