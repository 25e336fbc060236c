"""Factories of servers, directories, routes and forwarder dependencies, for unit tests."""

import random

from larkpost.common.clock import Clock
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import (
    ModelName,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.forwarder_dependencies import ForwarderDependencies
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.servers.port import ServerPort
from tests.platform_fleet import ENGINES, MODEL, PAGES

FIRST = ModelName("first")
SECOND = ModelName("second")
TWO_MODELS = Service(ServiceName("s"), 100, slots=8, models=(FIRST, SECOND))
"""A service whose engines are shared by two models."""
ADDRESS = Address("10.0.0.1:1")
ZONE = ZoneId("z")
SLOTS = 4
OBJECTIVE = 0.2


def make_instance(
    name: str,
    service: ServiceName = PAGES,
    *,
    slots: int = SLOTS,
    zone: ZoneId = ZONE,
    address: Address = ADDRESS,
) -> InstanceInfo:
    """Returns the entry of a ready instance, with each model at version 1."""
    versions = {FIRST: 1, SECOND: 1, MODEL: 1}
    return InstanceInfo(
        InstanceId(name), service, address, zone, slots, InstanceState.READY, versions
    )


def make_directory(
    count: int, service: ServiceName = ENGINES, *, slots: int = SLOTS
) -> InstanceDirectory:
    """Returns a directory of instances e0, e1 and so on."""
    directory = InstanceDirectory()
    for number in range(count):
        directory.update(make_instance(f"e{number}", service, slots=slots))
    return directory


def make_route(kind: RouteKind, max_attempts: int = 3, time_limit: float = 2.0) -> Route:
    """Returns a route to the pages."""
    shares = (ServiceShare(PAGES, 1.0),)
    return Route("r", "h", b"/", kind, shares, time_limit, OBJECTIVE, max_attempts=max_attempts)


def make_parts(
    directory: InstanceDirectory, balancer: Balancer, servers: ServerPort, clock: Clock
) -> ForwarderDependencies:
    """Returns a forwarder's dependencies, with their own log, metrics and service selector."""
    shares = ServiceSelector(random.Random(0))
    return ForwarderDependencies(
        directory, balancer, servers, clock, EventLog("daemon"), Metrics(), shares
    )
