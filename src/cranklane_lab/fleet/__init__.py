"""Starts deployments as processes on loopback addresses."""
