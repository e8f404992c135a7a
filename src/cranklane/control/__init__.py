"""The processes on the machines with disks: configuration, members, operators."""
