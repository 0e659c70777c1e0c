"""Decision functions over the tables, without I/O; most return typed actions."""
