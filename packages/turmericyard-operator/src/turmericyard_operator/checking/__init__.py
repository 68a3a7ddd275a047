"""Checks of a configuration before it is put in force; nothing is changed."""
