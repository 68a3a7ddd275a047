"""The node daemon: accepts callers' requests and places them on endpoints.

`main` is the command and `application` owns the parts of a node. `callers` and
`operators` are its HTTP interfaces; `peers` has its links to other nodes.
"""
