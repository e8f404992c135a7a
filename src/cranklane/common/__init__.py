"""HTTP, logging and metrics code shared by all processes."""
