"""Reads what servers write of themselves into the store."""

from typing import Any

import orjson

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.store.port import Row
from larkpost.platform.operator import UNREADABLE, UnreadableRowError


def read_instance(row: Row) -> InstanceInfo:
    """Returns the instance in a row of the servers' table.

    Raises:
        UnreadableRowError: the document cannot be read.
    """
    try:
        document = orjson.loads(row.value)
        is_leaving = document.get("state") == "draining"
        cold_ms = document.get("cold-left-ms")
        return InstanceInfo(
            id=InstanceId(row.key.key),
            service=ServiceName(document["service"]),
            address=Address(document["address"]),
            zone=ZoneId(document.get("zone", "")),
            slots=int(document.get("slots", 1)),
            state=InstanceState.LEAVING if is_leaving else InstanceState.READY,
            versions=read_versions(document),
            listed_version=row.version,
            is_preemptible=bool(document.get("preemptible", False)),
            cold_left=max(0.0, float(cold_ms) / 1000) if cold_ms is not None else None,
        )
    except UNREADABLE as error:
        raise UnreadableRowError(f"server {row.key.key}: {error!r}") from None


def read_versions(document: dict[str, Any]) -> dict[ModelName, int]:
    """Returns the weight version of each model named in a server's entry or report."""
    models = document.get("models") or ()
    return {ModelName(model["name"]): int(model["version"]) for model in models}
