"""Decisions: pure functions that read tables and return typed actions."""
