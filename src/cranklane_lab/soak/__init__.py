"""A randomized fault soak of the real programs as processes on one machine."""
