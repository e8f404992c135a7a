"""Receives callers' requests and returns their answers."""
