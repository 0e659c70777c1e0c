"""The entry process: callers' and endpoints' HTTP, and the fast decisions."""
