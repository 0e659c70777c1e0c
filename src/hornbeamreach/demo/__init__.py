"""Run a small fleet in one process on loopback, for the demo and for manual trials."""
