"""Bounds on what the clients of a process may make it hold and do.

`Intake` has the bounds of one listener, `MemoryAccount` those of the process;
`ConnectionWatch` ends connections that are too slow or hold too much.
"""
