"""The policy language and its compiler.

Control processes and the command line parse and compile policies; nodes receive compiled
rows.
"""
