"""Starts a site on the platform's stand-ins as real processes: store, servers and daemons.

Defines the two sites of the demonstration.
"""

from dataclasses import dataclass, field
from pathlib import Path

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.platform.stand_in.callers import BatchShape
from larkpost.platform.stand_in.daemon_settings import DaemonSettings, ready_path, write_settings
from larkpost.platform.stand_in.programs import server_arguments
from larkpost.platform.stand_in.rows import StandInServer
from larkpost.rehearsal.processes import (
    Process,
    ProcessGroup,
    free_address,
    is_responding,
    wait_for,
)
from larkpost.rehearsal.sites import CASABLANCA_ZONES, SANTIAGO_ZONES

DAEMON_MODULE = "larkpost.platform.process"
STAND_IN_MODULE = "larkpost.platform.stand_in.programs"
PAGE_SLOTS = 6
"""Requests that a page server handles concurrently."""


@dataclass(frozen=True, slots=True)
class SiteShape:
    """The size and load of a site."""

    name: str
    zones: tuple[ZoneId, ...]
    daemons: int
    engines: int
    engine_slots: int
    page_servers: int
    trainers: tuple[BatchShape, ...]
    client_requests_per_second: float

    @property
    def models(self) -> tuple[ModelName, ...]:
        """The models that the engines serve."""
        return tuple(trainer.model for trainer in self.trainers)


CASABLANCA_SHAPE = SiteShape(
    name="casablanca",
    zones=CASABLANCA_ZONES,
    daemons=10,
    engines=5,
    engine_slots=16,
    page_servers=3,
    trainers=(
        BatchShape(ModelName("briefs"), 56, 8),
        BatchShape(ModelName("news"), 56, 4),
    ),
    client_requests_per_second=2.4,
)
SANTIAGO_SHAPE = SiteShape(
    name="santiago",
    zones=SANTIAGO_ZONES,
    daemons=9,
    engines=6,
    engine_slots=12,
    page_servers=3,
    trainers=(BatchShape(ModelName("drafts"), 92, 4),),
    client_requests_per_second=3.0,
)


@dataclass(slots=True)
class PlatformSite:
    """The running processes of a site."""

    shape: SiteShape
    store: Address
    engine_service: ServiceName
    page_service: ServiceName
    servers: dict[InstanceId, Process] = field(default_factory=dict)
    daemons: dict[str, Process] = field(default_factory=dict)
    fronts: dict[str, Address] = field(default_factory=dict)
    ready: dict[str, Address] = field(default_factory=dict)


def start_site(group: ProcessGroup, shape: SiteShape, folder: Path) -> PlatformSite:
    """Starts all processes of a site without waiting; see `wait_until_ready`."""
    site = PlatformSite(
        shape,
        free_address(),
        ServiceName(f"{shape.name}-engines"),
        ServiceName(f"{shape.name}-pages"),
    )
    group.start_module(f"{shape.name}-store", STAND_IN_MODULE, "store", site.store)
    for number in range(shape.engines):
        _start_server(group, site, number, engine=True)
    for number in range(shape.page_servers):
        _start_server(group, site, number, engine=False)
    for number in range(shape.daemons):
        _start_daemon(group, site, number, folder)
    return site


def wait_until_ready(site: PlatformSite) -> None:
    """Waits until every daemon accepts clients.

    Raises:
        RehearsalError: a daemon is not ready in time.
    """
    for name, address in site.ready.items():
        wait_for(lambda address=address: is_responding(address, ready_path()), f"{name} is ready")


def _start_server(group: ProcessGroup, site: PlatformSite, number: int, *, engine: bool) -> None:
    shape = site.shape
    service = site.engine_service if engine else site.page_service
    instance = InstanceId(f"{service}-{number}")
    server = StandInServer(
        instance,
        service,
        free_address(),
        shape.zones[number % len(shape.zones)],
        shape.engine_slots if engine else PAGE_SLOTS,
        dict.fromkeys(shape.models, 1) if engine else {},
    )
    site.servers[instance] = group.start_module(
        instance, STAND_IN_MODULE, "server", site.store, *server_arguments(server)
    )


def _start_daemon(group: ProcessGroup, site: PlatformSite, number: int, folder: Path) -> None:
    zone = site.shape.zones[number % len(site.shape.zones)]
    name = f"front-{zone}-{number}"
    settings = DaemonSettings(
        name, zone, free_address(), free_address(), free_address(), site.store
    )
    environment = write_settings(settings, folder)
    site.daemons[name] = group.start_module(name, DAEMON_MODULE, environment=environment)
    site.fronts[name] = settings.front
    site.ready[name] = settings.ready
