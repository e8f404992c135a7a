"""Metrics and log lines of a sidecar."""
