"""Stops runs at endpoints that may still work on them.

The end of a connection does not show that its endpoint has stopped: an answer
may be lost while the run goes on.
"""
