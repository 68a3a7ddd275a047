"""Connections to other nodes: requests and notices over websockets."""
