"""The seam between the product and the machine: clocks, connections and files.

Sleeping, timeouts and events are gevent's own in production and in simulation;
only what this package names differs between the two.
"""
