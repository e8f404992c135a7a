"""Node process: runs beside a worker, or as an edge that accepts external clients."""
