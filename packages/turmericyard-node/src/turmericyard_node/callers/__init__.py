"""The callers' HTTP interface; docs/CALLERS.md describes it."""
