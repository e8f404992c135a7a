"""Chooses a worker for a request, sends it there and decides on retries."""
