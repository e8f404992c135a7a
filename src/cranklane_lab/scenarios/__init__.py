"""Named failures, run in simulation, with all promises checked all the time."""
