"""HTTP/1.1 message types, parsing and serialization."""
