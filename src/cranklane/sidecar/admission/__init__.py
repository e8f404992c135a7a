"""Admits, queues or refuses requests before the own worker."""
