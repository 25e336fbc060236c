"""Typed identifiers, so that two kinds of name are never exchanged by mistake."""

from typing import NewType

DaemonId = NewType("DaemonId", str)
InstanceId = NewType("InstanceId", str)
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
"""``host:port`` of an HTTP listener; a daemon uses the same port number for UDP."""
