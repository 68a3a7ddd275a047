"""The users' platform in one process: its store, its runners and clients.

They speak the published protocol and keep ledgers; nothing of the system is
used but the HTTP package.
"""
