"""Benchmarks of the costs of a node, measured on real processes.

Every benchmark starts its own deployment on loopback, reads the processor
time and memory of its processes, and stops them.
"""
