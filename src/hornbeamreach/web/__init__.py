"""HTTP towards callers, endpoints, the platform and operators, by library."""
