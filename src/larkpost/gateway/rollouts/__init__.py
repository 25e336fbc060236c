"""Durable batches of rollouts: accepted once, run by one daemon at a time, read anywhere."""
