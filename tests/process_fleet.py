"""Runs one site as real processes: platform, engines and daemons."""

from dataclasses import dataclass, field

import orjson

from larkpost.common.ids import Address
from larkpost.rehearsal.processes import (
    Process,
    ProcessGroup,
    call,
    free_address,
    is_responding,
    wait_for,
)
from larkpost.rehearsal.sites import Machine, Site


@dataclass(slots=True)
class Node:
    """A process and its address."""

    process: Process
    address: Address


@dataclass(slots=True)
class Fleet:
    """The running processes of a site."""

    site: Site
    group: ProcessGroup
    platform: Node
    engines: dict[str, Node] = field(default_factory=dict)
    daemons: dict[str, Node] = field(default_factory=dict)

    def daemon_list(self) -> str:
        """Returns the daemons' addresses as a comma-separated command argument."""
        return ",".join(node.address for node in self.daemons.values())

    def start_engine(self, machine: Machine) -> None:
        """Starts an engine; see `list_machine`."""
        address = free_address()
        process = self.group.start(
            machine.engine,
            "rehearsal",
            "engine",
            f"--engine-id={machine.engine}",
            f"--listen={address}",
            f"--platform={self.platform.address}",
        )
        self.engines[machine.engine] = Node(process, address)

    def list_machine(self, machine: Machine) -> None:
        """Adds an engine to the machine list."""
        fields = {
            "zone": machine.zone,
            "address": self.engines[machine.engine].address,
            "pool": machine.pool,
        }
        path = f"/machines/{machine.engine}"
        call(self.platform.address, "PUT", path, orjson.dumps(fields))

    def start_daemon(self, name: str, zone: str, address: Address, peers: list[Address]) -> None:
        """Starts a daemon."""
        process = self.group.start(
            name,
            "serve",
            f"--daemon-id={name}",
            f"--zone={zone}",
            f"--listen={address}",
            f"--peers={','.join(peers)}",
            f"--platform={self.platform.address}",
        )
        self.daemons[name] = Node(process, address)

    def wait_ready(self) -> None:
        """Waits until the daemons are ready and know every engine's load."""
        for name, node in self.daemons.items():
            wait_for(lambda node=node: is_responding(node.address, "/readyz"), f"{name} ready")
        for name, node in self.daemons.items():
            wait_for(lambda node=node: self._knows_engines(node), f"{name} sees all engines")

    def configure(self) -> None:
        """Plans and confirms the site's intent at the first daemon."""
        daemon = next(iter(self.daemons.values())).address
        intent = self.site.intent.model_dump_json().encode()
        plan = call(daemon, "POST", "/v1/intent/plan", intent)
        call(daemon, "POST", "/v1/intent/confirm", plan)

    def _knows_engines(self, node: Node) -> bool:
        status = orjson.loads(call(node.address, "GET", "/v1/status"))
        known = [engine for engine in status["engines"] if engine["slots"] is not None]
        return status["epoch"] > 0 and len(known) == len(self.site.machines)


def begin_fleet(group: ProcessGroup, site: Site, daemons_per_zone: int = 1) -> Fleet:
    """Starts all processes of a site without waiting for them."""
    platform = free_address()
    name = f"{site.name}-platform"
    process = group.start(name, "rehearsal", "platform", f"--listen={platform}")
    fleet = Fleet(site, group, Node(process, platform))
    for machine in site.machines:
        fleet.start_engine(machine)
    names = [
        (f"{zone}-{number + 1}", zone) for number in range(daemons_per_zone) for zone in site.zones
    ]
    addresses = [free_address() for _ in names]
    for (daemon, zone), address in zip(names, addresses, strict=True):
        fleet.start_daemon(daemon, zone, address, addresses)
    return fleet


def finish_fleet(fleet: Fleet) -> None:
    """Waits for the processes, lists the machines and confirms the intent."""
    platform = fleet.platform.address
    wait_for(lambda: is_responding(platform, "/machines"), "platform ready")
    for machine in fleet.site.machines:
        address = fleet.engines[machine.engine].address
        wait_for(lambda a=address: is_responding(a, "/v1/report"), f"{machine.engine} ready")
        fleet.list_machine(machine)
    for name, node in fleet.daemons.items():
        wait_for(lambda node=node: is_responding(node.address, "/readyz"), f"{name} ready")
    fleet.configure()
    fleet.wait_ready()
