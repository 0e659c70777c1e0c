"""Replicated control state and the processes that maintain it."""
