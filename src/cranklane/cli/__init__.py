"""Command lines of the product."""
