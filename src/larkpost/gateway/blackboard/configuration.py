"""The active configuration: routes, services, tenants and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import NewType

from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.blackboard.tenants import KeyDigest, Tenant, TenantName, index_by_key

ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)


class RouteKind(StrEnum):
    """Retry and delivery semantics of a route's requests."""

    IDEMPOTENT = "idempotent"  # may run more than once
    RUN_ONCE = "run_once"  # runs at most once per client attempt
    STREAM = "stream"  # event stream; runs once unless resumable
    BATCH = "batch"  # accepted as a durable batch of rollouts


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The weight of one service in the traffic split of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are served.

    Attributes:
        path_prefix: prefix of the raw request path; ends with a slash.
        time_limit: maximum seconds from the receipt of a request to its response.
        objective: latency objective in seconds.
        max_attempts: maximum number of servers for a request, or of failed runs of a batch item.
        resumable: whether another server may resume a stream after its last event.
        due: seconds from the first submission of a batch until all its results are due.
        queue_lifetime: seconds after which a batch item may be given up.
        single_version: whether a result must come from a single weight version.
        is_public: whether requests need no key even though tenants are configured.
        regions: the only regions in which its requests may be served; None for all.
    """

    name: str
    host: str
    path_prefix: bytes
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    time_limit: float
    objective: float
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    due: float = 0.0
    queue_lifetime: float = 0.0
    single_version: bool = False
    is_public: bool = False
    regions: frozenset[RegionId] | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable servers.

    Attributes:
        max_connections: maximum connections to one server, from all callers together.
        slots: concurrent requests of a model engine; 0 if the servers are not engines.
        models: models that the engines hold; empty if the servers are not engines.
        tokens_per_event: maximum number of tokens in a stream event.
        scaling: scaling limits and prices; None if servers cannot be ordered.
        cold_start: seconds for which a server that starts under traffic is cold.
        cold_rate: requests per second that a cold server can take; 0 for no limit.
    """

    name: ServiceName
    max_connections: int
    slots: int = 0
    models: tuple[ModelName, ...] = ()
    tokens_per_event: int = 1
    scaling: ScalingTerms | None = None
    cold_start: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on client requests and connections.

    Attributes:
        header_time: maximum seconds from the first byte of a request to the end of its headers.
        idle_time: maximum seconds that a connection may be idle between two requests.
    """

    header_bytes: int = 65536
    body_bytes: int = 33554432
    header_time: float = 10.0
    idle_time: float = 60.0


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        tenants: tenants whose keys are accepted; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: RequestLimits = field(default_factory=RequestLimits)
    tenants: tuple[Tenant, ...] | None = None

    @cached_property
    def _tenants_by_key(self) -> Mapping[KeyDigest, Tenant]:
        return index_by_key(self.tenants or ())

    def tenant_of(self, key: KeyDigest | None) -> Tenant | None:
        """Returns the tenant of a key; None if there is none."""
        return self._tenants_by_key.get(key) if key is not None else None

    def batch_routes_to(self, service: ServiceName) -> list[Route]:
        """Returns the batch routes that include a service."""
        return [
            route
            for route in self.routes
            if route.kind is RouteKind.BATCH
            and any(share.service == service for share in route.shares)
        ]

    def priority_of(self, tenant: TenantName | None, route: Route) -> int:
        """Returns a request's priority, 0 highest: that of its tenant if set, else of its route.

        Args:
            tenant: tenant of the request; None if it has none.
        """
        known = self._tenants_by_name.get(tenant)
        if known is None or known.priority is None:
            return route.priority
        return known.priority

    def allowed_regions(
        self, tenant: TenantName | None, route: Route | None
    ) -> frozenset[RegionId] | None:
        """Returns the only regions in which a request may be served; None for all.

        The regions must be allowed by both the route and the tenant.

        Args:
            tenant: tenant of the request; None if it has none.
            route: route of the request; None if it no longer exists.
        """
        known = self._tenants_by_name.get(tenant)
        of_tenant = known.regions if known is not None else None
        of_route = route.regions if route is not None else None
        if of_tenant is None or of_route is None:
            return of_tenant if of_route is None else of_route
        return of_tenant & of_route

    def allowed_regions_at(
        self, tenant: TenantName | None, host: str, path: bytes
    ) -> frozenset[RegionId] | None:
        """Returns the only regions in which a request to a path may be served; None for all."""
        return self.allowed_regions(tenant, self.match(host, path))

    @cached_property
    def has_region_limits(self) -> bool:
        """Whether any route or tenant restricts its regions."""
        holders = (*self.routes, *(self.tenants or ()))
        return any(holder.regions is not None for holder in holders)

    @cached_property
    def _tenants_by_name(self) -> Mapping[TenantName | None, Tenant]:
        return {tenant.name: tenant for tenant in self.tenants or ()}

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """Routes of each host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return by_host

    def match(self, host: str, path: bytes) -> Route | None:
        """Returns the route with the longest matching path prefix; None if there is none."""
        routes = self._routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def first_batch_route(self, host: str) -> Route | None:
        """Returns the first batch route of a host; None if there is none."""
        routes = self._routes_by_host.get(host, ())
        return next((route for route in routes if route.kind is RouteKind.BATCH), None)


class ConfigurationState:
    """The newest known configuration; older versions never replace it."""

    def __init__(self) -> None:
        self.current: Configuration | None = None

    def update(self, configuration: Configuration) -> bool:
        """Stores a configuration if it is newer, and returns whether it was."""
        if self.current is not None and configuration.version <= self.current.version:
            return False
        self.current = configuration
        return True

    def priority_of(self, tenant: TenantName | None, route: Route) -> int:
        """Returns a request's priority in the active configuration; see `Configuration`."""
        if self.current is None:
            return route.priority
        return self.current.priority_of(tenant, route)

    def service(self, name: ServiceName) -> Service | None:
        """Returns a service of the active configuration; None if there is none."""
        return self.current.services.get(name) if self.current is not None else None
