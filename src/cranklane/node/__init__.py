"""The process beside each worker, and the edge where outside clients enter."""
