"""The controller program: keeps the route table of sidecars, and their fleet-wide quotas."""
