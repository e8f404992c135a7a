"""Which requests are suspected of crashing workers, and are refused everywhere."""
