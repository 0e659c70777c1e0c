"""Entities that the systems read and change; no I/O but reading table files."""
