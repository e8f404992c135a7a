"""Data types for requests, their attempts and call trees, and their outcomes."""
