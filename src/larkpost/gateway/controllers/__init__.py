"""What keeps the blackboard current and acts on it, each at an interval of its own.

Owns the followed tables, the knowledge of other daemons (heartbeats, leases, true time) and the
loads of weights that are due. Relies on the store's port, the servers' port and the blackboard.
"""
