"""Route tables: versioned documents that map host and path to services."""
