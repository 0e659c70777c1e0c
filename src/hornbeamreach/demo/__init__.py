"""A small fleet in one process on loopback, for the demo and for trying things out."""
