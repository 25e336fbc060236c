"""Durable batches of rollouts: accepted once, run by one daemon at a time, read anywhere.

In the store, a batch has a head (its metadata and owner), its items, and a result list with a tail
(the length of the list). An item is listed once its result is in that list. `model.py` has the
types. The feed delivers changed heads to each daemon.
"""
