"""Typed identifiers, so that two kinds of name are never exchanged by mistake."""

from typing import NewType

DaemonId = NewType("DaemonId", str)
InstanceName = NewType("InstanceName", str)
"""What a server calls itself; it keeps the name when it starts again."""
InstanceId = NewType("InstanceId", str)
"""One incarnation of a server; see `larkpost.common.incarnations`."""
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
