"""Distribution of configuration and members from control processes to subscribers."""
