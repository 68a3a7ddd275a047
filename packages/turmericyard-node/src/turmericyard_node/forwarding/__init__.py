"""Forwards opaque requests to the endpoints that a platform publishes.

`application` owns the components and their life cycle; `request_handler`
handles each request and passes it to `calls` or `streams`; `view`,
`platform_state` and `follow` hold what the node knows; `fleet` exchanges state
with the other nodes.
"""
