"""Receives callers' requests and returns their responses."""
