"""The route table in force at a sidecar, and how certain it is to be the newest."""
