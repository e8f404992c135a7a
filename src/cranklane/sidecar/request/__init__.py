"""What a request is on its way through a sidecar, and what became of it."""
