"""Measures what each role costs as the fleet grows, with hollow nodes beside real ones."""
