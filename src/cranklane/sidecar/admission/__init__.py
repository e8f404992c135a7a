"""Admission control for the local worker: admits, queues or refuses requests."""
