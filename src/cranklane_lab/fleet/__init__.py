"""A fleet of real processes on this machine's loopback addresses."""
