"""The worker beside a sidecar: its state, its connections, its health."""
