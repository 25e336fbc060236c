"""Controllers that keep the blackboard current and act on it, each at its own interval.

Owns the followed tables, the knowledge of other daemons (heartbeats, leases, fleet clock) and the
weight loads that are due. Relies on the store's port, the servers' port and the blackboard.
"""
