"""Load generator that sends requests to nodes as a caller does."""
