"""The route table in force at a sidecar, and its freshness."""
