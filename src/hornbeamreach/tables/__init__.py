"""Entities: what the systems read and change, without any I/O."""
