"""Stand-ins for minions and the platform, for tests, benches and the demo."""
