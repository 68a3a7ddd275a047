"""Clients of the platform store, the VM list, engines and plain services."""
