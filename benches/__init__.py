"""Measurements; CI fails on their figures only where `bounds.toml` sets a bound."""
