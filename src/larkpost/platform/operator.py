"""Reads what the operator, the trainers and the servers write into the store."""

from typing import Any

import orjson

from larkpost.common.ids import Address, InstanceId, RegionId, ZoneId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ModelName,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.blackboard.evacuations import ZoneEvacuation
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.blackboard.tenants import Tenant, TenantName, digest_key
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.store.port import Row
from larkpost.platform import names

KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.RUN_ONCE,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)


class UnreadableRowError(ValueError):
    """A row is not what the platform's pages say; it is passed over and counted."""


def read_configuration(row: Row) -> Configuration | None:
    """Returns the configuration in a row of the operator's table, or None if it holds another.

    Raises:
        UnreadableRowError: the document cannot be read.
    """
    if row.key.key != names.CONFIGURATION_KEY or row.removed:
        return None
    try:
        document = orjson.loads(row.value)
        services = [_service(entry) for entry in document.get("services", ())]
        return Configuration(
            version=int(document["version"]),
            routes=tuple(_route(entry) for entry in document["routes"]),
            services={service.name: service for service in services},
            limits=_limits(document.get("limits") or {}),
            tenants=_tenants(document.get("tenants")),
        )
    except UNREADABLE as error:
        raise UnreadableRowError(f"configuration: {error!r}") from None


def read_weight_target(row: Row) -> WeightTarget | None:
    """Returns the named version in a row of the operator's table, or None if it holds another.

    Raises:
        UnreadableRowError: the document cannot be read.
    """
    if not row.key.key.startswith(names.VERSION_KEY_PREFIX) or row.removed:
        return None
    try:
        document = orjson.loads(row.value)
        return WeightTarget(ModelName(document["model"]), int(document["version"]))
    except UNREADABLE as error:
        raise UnreadableRowError(f"weight version: {error!r}") from None


def read_evacuation(row: Row) -> ZoneEvacuation | None:
    """Returns the evacuation in a row of the operator's table, or None if it holds another.

    The row's standing is the evacuation, whatever its value is; its removal is the end.

    Raises:
        UnreadableRowError: the row names no zone.
    """
    if not row.key.key.startswith(names.EVACUATION_KEY_PREFIX):
        return None
    zone = row.key.key.removeprefix(names.EVACUATION_KEY_PREFIX)
    if not zone:
        raise UnreadableRowError("evacuation: the row names no zone")
    return ZoneEvacuation(ZoneId(zone), is_on=not row.removed)


def read_instance(row: Row) -> InstanceInfo:
    """Returns the instance in a row of the servers' table.

    Raises:
        UnreadableRowError: the document cannot be read.
    """
    try:
        document = orjson.loads(row.value)
        draining = document.get("state") == "draining"
        cold = document.get("cold-left-ms")
        return InstanceInfo(
            id=InstanceId(row.key.key),
            service=ServiceName(document["service"]),
            address=Address(document["address"]),
            zone=ZoneId(document.get("zone", "")),
            slots=int(document.get("slots", 1)),
            state=InstanceState.LEAVING if draining else InstanceState.READY,
            versions=read_versions(document),
            listed_version=row.version,
            is_preemptible=bool(document.get("preemptible", False)),
            cold_left=max(0.0, float(cold) / 1000) if cold is not None else None,
        )
    except UNREADABLE as error:
        raise UnreadableRowError(f"server {row.key.key}: {error!r}") from None


def read_versions(document: dict[str, Any]) -> dict[ModelName, int]:
    """Returns the weight version of each model named in a server's entry or report."""
    models = document.get("models") or ()
    return {ModelName(model["name"]): int(model["version"]) for model in models}


def _route(entry: dict[str, Any]) -> Route:
    shares = entry.get("weighted-services")
    if shares:
        parts = [
            ServiceShare(ServiceName(share["service"]), float(share["weight"])) for share in shares
        ]
    else:
        parts = [ServiceShare(ServiceName(entry["service"]), 1.0)]
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["host"]).lower(),
        path_prefix=str(entry["path-prefix"]).encode(),
        kind=KINDS[entry["kind"]],
        shares=tuple(parts),
        time_limit=float(entry.get("timeout-ms", 30000)) / 1000,
        objective=float(entry.get("target-ms", 1000)) / 1000,
        priority=int(entry.get("priority", 0)),
        max_attempts=max(1, int(entry.get("max-attempts", 1))),
        resumable=bool(entry.get("resumable", False)),
        due=float(entry.get("result-due-ms", 0)) / 1000,
        queue_lifetime=float(entry.get("queue-ttl-s", 0)),
        single_version=bool(entry.get("single-version", False)),
        is_public=bool(entry.get("public", False)),
        regions=_regions(entry),
    )


def _tenants(entries: list[dict[str, Any]] | None) -> tuple[Tenant, ...] | None:
    """Returns the tenants; None where the configuration does not speak of any."""
    return tuple(_tenant(entry) for entry in entries) if entries is not None else None


def _tenant(entry: dict[str, Any]) -> Tenant:
    name = str(entry["name"])
    if not name or not name.isprintable() or not name.isascii():
        raise ValueError(f"tenant name {name!r} cannot be sent in a request's head")
    priority = entry.get("priority")
    return Tenant(
        TenantName(name),
        frozenset(digest_key(str(key).encode()) for key in entry.get("api-keys") or ()),
        int(priority) if priority is not None else None,
        _regions(entry),
    )


def _regions(entry: dict[str, Any]) -> frozenset[RegionId] | None:
    """Returns the only regions in which a route or a tenant may be served; None for all."""
    regions = entry.get("allowed-regions") or []
    if not isinstance(regions, list) or not all(isinstance(name, str) for name in regions):
        raise TypeError(f"allowed-regions {regions!r} is no list of names")
    return frozenset(map(RegionId, regions)) or None


def _service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    return Service(
        name=ServiceName(entry["name"]),
        max_connections=int(entry.get("max-conns", 100)),
        slots=int(engine.get("slots", 0)),
        models=tuple(ModelName(model["name"]) for model in engine.get("models", ())),
        tokens_per_event=int(engine.get("stride", 1)),
        cold_start=float(entry.get("cold-start-s", 0)),
        cold_rate=float(entry.get("cold-per-s", 0)),
        scaling=_scaling(entry.get("autoscale")),
    )


def _scaling(entry: dict[str, Any] | None) -> ScalingTerms | None:
    if not entry:
        return None
    minimum, maximum = int(entry["min"]), int(entry["max"])
    if not 0 <= minimum <= maximum:
        raise ValueError(f"autoscale from {minimum} to {maximum} servers")
    cheap = entry.get("spot-price")
    return ScalingTerms(
        minimum=minimum,
        maximum=maximum,
        boot_time=float(entry.get("boot-s", 0)),
        preemptible_price=float(cheap) if cheap else None,
        zone_prices={
            ZoneId(zone): float(price) for zone, price in (entry.get("zone-prices") or {}).items()
        },
    )


def _limits(entry: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        header_bytes=int(entry.get("max-header-bytes", default.header_bytes)),
        body_bytes=int(entry.get("max-body-bytes", default.body_bytes)),
        header_time=float(entry.get("header-timeout-ms", default.header_time * 1000)) / 1000,
        idle_time=float(entry.get("idle-timeout-ms", default.idle_time * 1000)) / 1000,
    )
