"""The language for routes and policies, and its compiler.

Only control processes and the command line import this package: nodes receive
compiled rows.
"""
