"""HTTP clients, the HTTP server, and responses with problem details."""
