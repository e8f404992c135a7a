"""Parts shared by the processes: HTTP serving and calling, logs, headers."""
