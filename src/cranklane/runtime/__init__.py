"""Abstracts the operating system: clocks, connections and files.

The simulation has its own implementation of these interfaces. Sleeping, timeouts and
events are gevent's in both.
"""
