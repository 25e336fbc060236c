"""Experiments: run a scenario on virtual time under several policies and seeds, and report."""
