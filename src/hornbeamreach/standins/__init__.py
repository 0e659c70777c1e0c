"""Provide stand-ins for minions and the workers' platform to tests, benches and the demo."""
