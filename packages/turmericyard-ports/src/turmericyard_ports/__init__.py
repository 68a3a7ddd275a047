"""Interface between the forwarding core and a platform; no I/O.

`configuration` and `endpoint` have the data that the platform publishes,
`request` an opaque request and its answer, `settings` the settings of a
process, and `border` the protocol that a platform's adapter implements. The
protocol of the coordination store is in `turmericyard_clients.store`.
"""
