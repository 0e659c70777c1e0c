"""Adapter between the users' platform and this library; it holds no other logic."""
