"""Provide stand-ins for minions and the workers' platform, and simulated minions."""
