"""Capacity: how many servers a service has in each zone, and who orders them."""
