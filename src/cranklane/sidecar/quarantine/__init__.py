"""Fleet-wide quarantine of requests suspected of crashing workers."""
