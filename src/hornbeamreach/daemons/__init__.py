"""The two daemons, thin over the library."""
