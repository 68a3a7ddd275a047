"""A soak of the forwarding node as real processes, under drawn failures.

The nodes run as processes of their own; the store, the runners and the clients
are stand-ins of the soak's own process, behind links that can fail.
"""
