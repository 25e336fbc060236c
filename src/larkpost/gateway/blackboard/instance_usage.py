"""What daemons report to each other of their use of instances; it travels with their heartbeats."""

from larkpost.common.ids import InstanceId

InstanceUsage = dict[InstanceId, tuple[int, float]]
"""For each instance in use: requests there, and seconds a unit of work takes (0: unknown)."""
