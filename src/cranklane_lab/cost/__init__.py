"""Measures the CPU time that sidecars spend on a request, with real processes on loopback."""
