"""Decides what an endpoint's answer may be taken for."""
