"""What the forwarding core asks of the platform around it; no I/O.

`configuration` and `endpoint` are the data that the platform publishes,
`request` is an opaque request and its answer, `settings` is what a process is
told at its start, and `border` has the protocols that an adapter implements.
The coordination store has a port of its own: `turmericyard_clients.store`.
"""
