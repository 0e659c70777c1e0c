"""The entry process: HTTP for callers and endpoints, calls, jobs and their records."""
