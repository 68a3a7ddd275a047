"""Stand-ins for the platform store, the VM list, engines and plain services.

Each runs as a process with one listener for its protocol and a control port,
which accepts faults (`POST /control`) and returns the ledger (`GET /ledger`).
"""
