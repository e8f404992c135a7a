"""Route tables: whole versioned configurations that route by host and path."""
