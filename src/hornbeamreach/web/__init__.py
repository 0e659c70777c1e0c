"""HTTP clients and servers: callers, endpoints, the platform and operators."""
