"""HTTP/1.1 on a connection: message types, reading and writing."""
