"""The binary protocol between the project's own processes."""
