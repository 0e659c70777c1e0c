"""Measurements, printed and not judged in CI unless a bound file says so."""
