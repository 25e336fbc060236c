"""Typed identifiers, so that a type checker detects a mix-up of two kinds of id."""

from typing import NewType

DaemonId = NewType("DaemonId", str)
InstanceName = NewType("InstanceName", str)
"""Name of a server; it stays the same across restarts."""
InstanceId = NewType("InstanceId", str)
"""Id of one incarnation of a server; see `larkpost.common.incarnations`."""
EngineId = NewType("EngineId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
PoolId = NewType("PoolId", str)
BatchId = NewType("BatchId", str)
TrainerId = NewType("TrainerId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
PlanId = NewType("PlanId", str)
PolicyId = NewType("PolicyId", str)

Address = NewType("Address", str)
"""``host:port`` of an HTTP server; a daemon uses the same port number for UDP."""
