"""Forwards opaque requests to the endpoints that a platform publishes.

`application` owns the parts and their life cycle; `intake` is the way of one
request; `calls` and `streams` carry it out; `view`, `knowledge` and `follow`
are what the node knows; `fleet` is the exchange with the other nodes.
"""
