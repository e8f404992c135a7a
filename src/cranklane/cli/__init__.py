"""Command line of operators, and the entry point of the daemons."""
