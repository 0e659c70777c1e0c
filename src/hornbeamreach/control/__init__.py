"""The replicated control state and the processes that keep it."""
