"""Fault soak: run the real programs as processes, inject faults and check what callers see."""
