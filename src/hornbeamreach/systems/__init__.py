"""Pure decision functions: each reads tables and returns typed actions."""
