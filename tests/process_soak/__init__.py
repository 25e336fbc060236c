"""Soak test of the real programs on loopback, with external faults and external checks."""
