"""Takes requests from callers and writes their answers."""
