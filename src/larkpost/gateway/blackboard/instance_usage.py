"""Instance usage that daemons report to each other with their heartbeats."""

from larkpost.common.ids import InstanceId

InstanceUsage = dict[InstanceId, tuple[int, float]]
"""For each instance in use: requests there, and seconds a unit of work takes (0: unknown)."""
