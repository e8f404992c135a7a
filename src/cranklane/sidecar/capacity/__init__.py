"""What is learned beside a worker about its capacity, and how callers are told of it."""
