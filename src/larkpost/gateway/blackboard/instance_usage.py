"""Instance usage that daemons report to each other with their heartbeats."""

from larkpost.common.ids import InstanceId

InstanceUsage = dict[InstanceId, tuple[int, float]]
"""Number of requests and service time of each instance in use.

The service time is in seconds per unit of work; 0 if unknown."""
