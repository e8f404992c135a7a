"""The controller: stores the route table of sidecars and enforces fleet-wide tenant quotas."""
