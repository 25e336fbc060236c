"""Parses the operator's configuration: routes, services, tenants, limits.

Durations are converted to seconds. Fields whose names are misleading: a route's ``target-ms`` is
its latency objective; a service's ``stride`` is the maximum number of tokens per stream event.
"""

from typing import Any

from larkpost.common.ids import RegionId, ZoneId
from larkpost.gateway.blackboard.configuration import (
    ModelName,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.blackboard.tenants import Tenant, TenantName, digest_key

DEFAULT_TIMEOUT_MS = 30000
DEFAULT_OBJECTIVE_MS = 1000
DEFAULT_CONNECTIONS = 100
"""Defaults for routes and services that do not set these values."""

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.RUN_ONCE,
    "stream": RouteKind.STREAM,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}


def read_route(entry: dict[str, Any]) -> Route:
    """Parses a route.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: the entry cannot be parsed.
    """
    shares = _shares(entry)
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["host"]).lower(),
        path_prefix=str(entry["path-prefix"]).encode(),
        kind=ROUTE_KINDS[entry["kind"]],
        shares=shares,
        time_limit=float(entry.get("timeout-ms", DEFAULT_TIMEOUT_MS)) / 1000,
        objective=float(entry.get("target-ms", DEFAULT_OBJECTIVE_MS)) / 1000,
        priority=int(entry.get("priority", 0)),
        max_attempts=max(1, int(entry.get("max-attempts", 1))),
        resumable=bool(entry.get("resumable", False)),
        due=float(entry.get("result-due-ms", 0)) / 1000,
        queue_lifetime=float(entry.get("queue-ttl-s", 0)),
        single_version=bool(entry.get("single-version", False)),
        is_public=bool(entry.get("public", False)),
        regions=_regions(entry),
    )


def _shares(entry: dict[str, Any]) -> tuple[ServiceShare, ...]:
    """Returns the services of a route with their traffic weights."""
    shares = entry.get("weighted-services")
    if not shares:
        return (ServiceShare(ServiceName(entry["service"]), 1.0),)
    return tuple(
        ServiceShare(ServiceName(share["service"]), float(share["weight"])) for share in shares
    )


def read_tenants(entries: list[dict[str, Any]] | None) -> tuple[Tenant, ...] | None:
    """Parses the tenants; None if the configuration has no such section.

    Raises:
        KeyError, TypeError, ValueError: an entry cannot be parsed.
    """
    return tuple(_parse_tenant(entry) for entry in entries) if entries is not None else None


def _parse_tenant(entry: dict[str, Any]) -> Tenant:
    name = str(entry["name"])
    if not name or not name.isprintable() or not name.isascii():
        raise ValueError(f"tenant name {name!r} must be non-empty printable ASCII")
    priority = entry.get("priority")
    return Tenant(
        TenantName(name),
        frozenset(digest_key(str(key).encode()) for key in entry.get("api-keys") or ()),
        int(priority) if priority is not None else None,
        _regions(entry),
    )


def _regions(entry: dict[str, Any]) -> frozenset[RegionId] | None:
    """Returns the regions in which a route or a tenant may be served; None for all."""
    regions = entry.get("allowed-regions") or []
    if not isinstance(regions, list) or not all(isinstance(name, str) for name in regions):
        raise TypeError(f"allowed-regions is {regions!r}, but must be a list of names")
    return frozenset(map(RegionId, regions)) or None


def read_service(entry: dict[str, Any]) -> Service:
    """Parses a service.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: the entry cannot be parsed.
    """
    engine = entry.get("engine") or {}
    return Service(
        name=ServiceName(entry["name"]),
        max_connections=int(entry.get("max-conns", DEFAULT_CONNECTIONS)),
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
        raise ValueError(f"autoscale range from {minimum} to {maximum} servers is invalid")
    preemptible_price = entry.get("spot-price")
    return ScalingTerms(
        minimum=minimum,
        maximum=maximum,
        boot_time=float(entry.get("boot-s", 0)),
        preemptible_price=float(preemptible_price) if preemptible_price else None,
        zone_prices={
            ZoneId(zone): float(price) for zone, price in (entry.get("zone-prices") or {}).items()
        },
    )


def read_limits(entry: dict[str, Any]) -> RequestLimits:
    """Parses the limits on clients; missing ones have their defaults.

    Raises:
        TypeError, ValueError: a limit is not a number.
    """
    default = RequestLimits()
    return RequestLimits(
        header_bytes=int(entry.get("max-header-bytes", default.header_bytes)),
        body_bytes=int(entry.get("max-body-bytes", default.body_bytes)),
        header_time=float(entry.get("header-timeout-ms", default.header_time * 1000)) / 1000,
        idle_time=float(entry.get("idle-timeout-ms", default.idle_time * 1000)) / 1000,
    )
