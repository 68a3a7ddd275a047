"""The command `turmericyard` of operators and callers.

`main` joins the command groups; each group has a module of its own.
"""
