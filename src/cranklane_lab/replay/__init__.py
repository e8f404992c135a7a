"""Replay of traces: timed requests and faults with their expected outcomes."""
