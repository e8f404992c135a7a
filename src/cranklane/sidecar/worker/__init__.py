"""The worker beside a sidecar: state, connections and health."""
