"""The sidecar: takes its machine's requests and runs those for its own worker."""
