"""Simulates how callers of a large service detect its unhealthy workers."""
