"""Soak test with random faults; runs the daemons as processes on one machine."""
