"""Stand-ins of the review: platform, operator, workers and clients."""
