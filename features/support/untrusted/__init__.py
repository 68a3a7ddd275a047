"""A node as a process of its own, and clients that no one controls."""
