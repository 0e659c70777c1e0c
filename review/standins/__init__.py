"""Stand-ins of clients, minions, operator and platform for the scripts of the review."""
