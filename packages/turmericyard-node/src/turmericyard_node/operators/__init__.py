"""The operators' HTTP interface: status, explain and metrics."""
