"""The sidecar: receives its machine's requests and runs those for the local worker."""
