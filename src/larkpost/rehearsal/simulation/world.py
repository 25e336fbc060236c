"""A simulated fleet: platform, engines and daemons, and the faults of an experiment.

Tests extend it with planned stops, freezes and more faults.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.ids import Address, DaemonId, EngineId, PolicyId, ZoneId
from larkpost.rehearsal.engine_model import EngineModel
from larkpost.rehearsal.engine_types import EngineRecord, EngineShape
from larkpost.rehearsal.simulation.fabric import DaemonNode, EngineNode, Fabric
from larkpost.rehearsal.simulation.faults import FaultLog
from larkpost.rehearsal.simulation.network import Host, Network
from larkpost.rehearsal.simulation.operators import SimulatedOperators
from larkpost.rehearsal.simulation.ports import (
    SimulatedClock,
    SimulatedEngines,
    SimulatedPlatform,
    SimulatedTransport,
)
from larkpost.rehearsal.simulation.records import EngineWork, Records
from larkpost.rehearsal.sites import Machine
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.daemon import Daemon, Ports
from larkpost.standalone.settings import Settings
from larkpost.standalone.table_service.ports import MachineEntry

READY_SECONDS = 60.0
READY_POLL_SECONDS = 0.1
"""Timeout until a fleet is ready, and the interval of the check."""
SIMULATED_ENGINE = EngineShape(
    slots=6,
    queue_limit=12,
    step_base=0.04,
    step_per_sequence=0.002,
    tokens_per_step=2,
    swap_seconds=0.6,
)


@dataclass(frozen=True, slots=True)
class WorldShape:
    """Size and settings of a simulated fleet."""

    zones: tuple[ZoneId, ...]
    daemons_per_zone: tuple[int, ...]
    machines: tuple[Machine, ...]
    intent: Intent
    engine: EngineShape = SIMULATED_ENGINE
    settings: dict = field(default_factory=dict)
    """Sections of the daemon settings that override the defaults."""


class World:
    """The fleet and its faults. Create it in the event loop's thread, then await ``start``."""

    def __init__(self, shape: WorldShape, rng: random.Random) -> None:
        self.shape = shape
        self.rng = rng
        self.fabric = Fabric(Network(random.Random(rng.random())))
        self.network = self.fabric.network
        self.platform = self.fabric.platform
        self.platform_host = self.fabric.platform_host
        self.records = Records()
        self.daemons: dict[DaemonId, DaemonNode] = {}
        self.stopped_daemons: list[DaemonNode] = []
        """Daemons that were killed or have stopped, kept for their counters."""
        self.engines: dict[EngineId, EngineNode] = {}
        self.daemon_zones: dict[DaemonId, ZoneId] = self._name_daemons()
        self.callers = {zone: Host(Address(f"callers-{zone}:1"), zone) for zone in shape.zones}
        self.faults = FaultLog(self.records)

    async def start(self) -> None:
        """Starts all engines and daemons and confirms the intent."""
        for machine in self.shape.machines:
            self.start_engine(machine)
            entry = MachineEntry(
                machine.engine,
                machine.zone,
                _engine_address(machine.engine),
                machine.pool,
                False,
                0,
            )
            self.platform.list_machine(entry, lag=0.0)
        for name in self.daemon_zones:
            self.start_daemon(name)
        await self._wait_until(lambda: all(self.is_ready(name) for name in self.daemon_zones))
        first = next(iter(self.daemon_zones))
        operators = self.make_operators()
        await operators.confirm(first, operators.plan(first, self.shape.intent))
        await self._wait_until(self._all_loads_known)

    def make_operators(self) -> SimulatedOperators:
        """Returns the simulated operators of this fleet."""
        return SimulatedOperators(self.daemons, self.callers, self.network, self.records)

    # State

    def is_ready(self, name: DaemonId) -> bool:
        """Whether the daemon is running and ready."""
        node = self.daemons.get(name)
        return node is not None and node.daemon.board.phase == "ready"

    @property
    def now(self) -> float:
        """The current virtual time in seconds."""
        return asyncio.get_running_loop().time()

    # Daemons

    def start_daemon(self, name: DaemonId) -> None:
        """Starts a daemon without any state."""
        zone = self.daemon_zones[name]
        host = Host(_daemon_address(name), zone)
        settings = Settings(
            daemon_id=name,
            zone=zone,
            listen=host.address,
            peers=tuple(_daemon_address(peer) for peer in self.daemon_zones),
            platform=self.platform_host.address,
            **self.shape.settings,
        )
        platform = SimulatedPlatform(self.fabric, host)
        ports = Ports(
            SimulatedClock(host),
            SimulatedTransport(self.fabric, host),
            SimulatedEngines(self.fabric, host),
            platform,
            platform,
        )
        daemon = Daemon(settings, ports, random.Random(self.rng.random()), log=False)
        node = DaemonNode(host, daemon)
        self.daemons[name] = node
        self.fabric.daemons[host.address] = node
        daemon.start()

    def kill_daemon(self, name: DaemonId) -> None:
        """Kills a daemon immediately."""
        node = self.daemons.pop(name)
        self._remove_daemon(node)

    # Engines

    def start_engine(self, machine: Machine) -> None:
        """Starts an engine with no weights and no fencing token."""
        host = Host(_engine_address(machine.engine), machine.zone)

        async def fetch_weights(policy: PolicyId, version: int) -> bool:
            return await self.fabric.fetch_weights(host, policy, version)

        def record_work(record: EngineRecord) -> None:
            self.records.work.append(EngineWork(machine.engine, record))

        model = EngineModel(machine.engine, self.shape.engine, fetch_weights, record_work)
        node = EngineNode(host, model)
        self.engines[machine.engine] = node
        self.fabric.engines[host.address] = node
        model.start()

    def restart_engine(self, engine: EngineId) -> None:
        """Restarts an engine that was killed."""
        self.start_engine(self._machine(engine))

    def kill_engine(self, engine: EngineId) -> None:
        """Kills an engine immediately."""
        node = self.engines.pop(engine)
        node.model.stop()
        node.host.kill()
        self.fabric.engines.pop(node.host.address)

    # Network and platform

    def cut_zones(self, first: ZoneId, second: ZoneId, one_way: bool = False) -> None:
        """Partitions a pair of zones, in one direction or both."""
        cuts = self.network.conditions.zone_cuts
        cuts.add((first, second))
        if not one_way:
            cuts.add((second, first))
        self.faults.begin("zones")

    def lose_zone(self, zone: ZoneId) -> None:
        """Kills every daemon and engine of a zone."""
        for name in [name for name in self.daemons if self.daemon_zones[name] == zone]:
            self.kill_daemon(name)
        for machine in self.shape.machines:
            if machine.zone == zone and machine.engine in self.engines:
                self.kill_engine(machine.engine)

    def set_platform_down(self, down: bool) -> None:
        """Takes the platform down or brings it up again."""
        self.platform.faults.down = down
        self.faults.set("platform", down)

    def heal(self) -> None:
        """Ends every fault of the network and the platform."""
        conditions = self.network.conditions
        conditions.zone_cuts.clear()
        conditions.link_cuts.clear()
        conditions.datagram_loss = 0.0
        conditions.datagram_repeat = 0.0
        conditions.late_share = 0.0
        self.platform.faults.down = False
        self.platform.faults.slow_seconds = 0.0
        self.platform.faults.lost_answers = 0
        self.faults.end_all()

    def restart_all(self) -> None:
        """Starts all daemons and engines that are not running."""
        for name in self.daemon_zones:
            if name not in self.daemons:
                self.start_daemon(name)
        for machine in self.shape.machines:
            if machine.engine not in self.engines:
                self.start_engine(machine)

    # Private

    def _name_daemons(self) -> dict[DaemonId, ZoneId]:
        counts = zip(self.shape.zones, self.shape.daemons_per_zone, strict=True)
        return {
            DaemonId(f"{zone}-d{number + 1}"): zone
            for zone, count in counts
            for number in range(count)
        }

    def _remove_daemon(self, node: DaemonNode) -> None:
        node.host.kill()
        node.daemon.stop()
        self.stopped_daemons.append(node)
        self.fabric.daemons.pop(node.host.address, None)

    def _machine(self, engine: EngineId) -> Machine:
        return next(machine for machine in self.shape.machines if machine.engine == engine)

    def _all_loads_known(self) -> bool:
        return all(
            len(node.daemon.board.engines.loads) == len(self.shape.machines)
            for node in self.daemons.values()
        )

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = self.now + READY_SECONDS
        while not condition():
            if self.now > deadline:
                raise TimeoutError(f"the simulated fleet was not ready within {READY_SECONDS:g} s")
            await asyncio.sleep(READY_POLL_SECONDS)


def _daemon_address(name: DaemonId) -> Address:
    return Address(f"{name}:1")


def _engine_address(engine: EngineId) -> Address:
    return Address(f"{engine}:2")
