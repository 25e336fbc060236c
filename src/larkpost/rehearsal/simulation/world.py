"""A simulated fleet: platform, engines and daemons, and everything that can happen to them."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.ids import Address, DaemonId, EngineId, ZoneId
from larkpost.rehearsal.engine_model import EngineModel, EngineRecord, EngineShape
from larkpost.rehearsal.platform_model import (
    PlatformDownError,
    PlatformModel,
    RateLimitedError,
)
from larkpost.rehearsal.simulation.faults import FaultLog
from larkpost.rehearsal.simulation.network import Host, HostUnreachableError, Network
from larkpost.rehearsal.simulation.operators import SimulatedOperators
from larkpost.rehearsal.simulation.ports import (
    SimulatedClock,
    SimulatedEngines,
    SimulatedPlatform,
    SimulatedTransport,
)
from larkpost.rehearsal.simulation.records import (
    EngineWork,
    LeavingMark,
    LeavingSource,
    Records,
)
from larkpost.rehearsal.sites import Machine
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.daemon import Daemon, Ports
from larkpost.standalone.settings import Settings
from larkpost.standalone.table_service.ports import MachineEntry

PLATFORM_ZONE = ZoneId("platform")
STOP_POLL = 0.05
ANSWER_FLUSH = 1.0
"""Seconds in which answers already written reach their callers after a planned stop."""
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
    """What a simulated fleet consists of."""

    zones: tuple[ZoneId, ...]
    daemons_per_zone: tuple[int, ...]
    machines: tuple[Machine, ...]
    intent: Intent
    engine: EngineShape = SIMULATED_ENGINE
    settings: dict = field(default_factory=dict)
    """Sections of the daemons' settings that differ from the defaults."""


@dataclass(slots=True)
class DaemonNode:
    """A running daemon on its host."""

    host: Host
    daemon: Daemon
    stopping: bool = False


@dataclass(slots=True)
class EngineNode:
    """A running engine on its host."""

    host: Host
    model: EngineModel


class World:
    """The fleet and its faults. Build it inside a running loop's thread, then await ``start``."""

    def __init__(
        self,
        shape: WorldShape,
        rng: random.Random,
        make_daemon: Callable[[Settings, Ports, random.Random], Daemon] | None = None,
    ) -> None:
        self.shape = shape
        self.rng = rng
        self.network = Network(random.Random(rng.random()))
        self.platform = PlatformModel()
        self.platform_host = Host(Address("platform:1"), PLATFORM_ZONE)
        self.records = Records()
        self.daemons: dict[DaemonId, DaemonNode] = {}
        self.ended: list[DaemonNode] = []
        """Daemons that were killed or have stopped, for their counters."""
        self.engines: dict[EngineId, EngineNode] = {}
        self.homes: dict[DaemonId, ZoneId] = self._name_daemons()
        self.callers = {zone: Host(Address(f"callers-{zone}:1"), zone) for zone in shape.zones}
        self._make_daemon = make_daemon or _make_silent_daemon
        self.faults = FaultLog(self.records)
        self._daemons_by_address: dict[Address, DaemonNode] = {}
        self._engines_by_address: dict[Address, EngineNode] = {}

    async def start(self) -> None:
        """Starts everything and confirms the intent."""
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
        for name in self.homes:
            self.start_daemon(name)
        await self._wait_until(lambda: all(self.is_ready(name) for name in self.homes))
        first = next(iter(self.homes))
        operators = SimulatedOperators(self)
        await operators.confirm(first, operators.plan(first, self.shape.intent))
        await self._wait_until(self._all_loads_known)

    # Reading

    def daemon_at(self, address: Address) -> DaemonNode | None:
        """Returns the daemon that listens at an address."""
        return self._daemons_by_address.get(address)

    def engine_at(self, address: Address) -> EngineNode | None:
        """Returns the engine that listens at an address."""
        return self._engines_by_address.get(address)

    def is_ready(self, name: DaemonId) -> bool:
        """Whether the daemon runs and serves."""
        node = self.daemons.get(name)
        return node is not None and node.daemon.board.phase == "ready"

    def serving(self) -> list[DaemonId]:
        """Returns the daemons that run."""
        return [name for name, node in self.daemons.items() if not node.stopping]

    @property
    def now(self) -> float:
        """Virtual seconds."""
        return asyncio.get_running_loop().time()

    # Daemons

    def start_daemon(self, name: DaemonId) -> None:
        """Starts a daemon with an empty memory."""
        zone = self.homes[name]
        host = Host(_daemon_address(name), zone)
        settings = Settings(
            daemon_id=name,
            zone=zone,
            listen=host.address,
            peers=tuple(_daemon_address(peer) for peer in self.homes),
            platform=self.platform_host.address,
            **self.shape.settings,
        )
        platform = SimulatedPlatform(self, host)
        ports = Ports(
            SimulatedClock(host),
            SimulatedTransport(self, host),
            SimulatedEngines(self, host),
            platform,
            platform,
        )
        daemon = self._make_daemon(settings, ports, random.Random(self.rng.random()))
        node = DaemonNode(host, daemon)
        self.daemons[name] = node
        self._daemons_by_address[host.address] = node
        daemon.start()

    def kill_daemon(self, name: DaemonId) -> None:
        """Ends a daemon at once."""
        node = self.daemons.pop(name)
        self._remove_daemon(node)

    def freeze_daemon(self, name: DaemonId, seconds: float) -> None:
        """Pauses a daemon."""
        self.daemons[name].host.frozen_until = self.now + seconds
        self.faults.hold(f"freeze-{name}-{self.now}", seconds)

    async def stop_daemon(self, name: DaemonId) -> None:
        """Stops a daemon as planned."""
        node = self.daemons[name]
        if node.stopping:
            return
        node.stopping = True
        await node.daemon.drain()
        node.host.refusing = True
        await self._flush(node.host)
        if self.daemons.get(name) is node:
            del self.daemons[name]
            self._note_cut(node.host)
            node.daemon.stop()
            self.ended.append(node)
            self._daemons_by_address.pop(node.host.address, None)
            await self._empty_buffers(node.host)
            node.host.kill()

    # Engines

    def start_engine(self, machine: Machine) -> None:
        """Starts an engine with no weights and no token."""
        host = Host(_engine_address(machine.engine), machine.zone)

        async def fetch_weights(policy, version) -> bool:
            return await self._fetch_weights(host, policy, version)

        def note(record: EngineRecord) -> None:
            self.records.work.append(EngineWork(machine.engine, record))

        model = EngineModel(machine.engine, self.shape.engine, fetch_weights, note)
        node = EngineNode(host, model)
        self.engines[machine.engine] = node
        self._engines_by_address[host.address] = node
        model.start()

    def restart_engine(self, engine: EngineId) -> None:
        """Starts an engine again after it was killed."""
        self.start_engine(self._machine(engine))

    def kill_engine(self, engine: EngineId) -> None:
        """Crashes an engine."""
        node = self.engines.pop(engine)
        for mark in self.records.leaving:
            if mark.engine == engine and mark.source == LeavingSource.ENGINE:
                mark.until = min(mark.until, self.now)
        node.model.stop()
        node.host.kill()
        self._engines_by_address.pop(node.host.address)

    def freeze_engine(self, engine: EngineId, seconds: float) -> None:
        """Pauses an engine."""
        self.engines[engine].model.faults.frozen_until = self.now + seconds

    async def stop_engine(self, engine: EngineId) -> None:
        """Stops an engine as planned: it reports that it leaves and ends once idle.

        Idle means that nothing is generated and every answer is sent, late as a fault may make it.
        """
        node = self.engines[engine]
        self.mark_leaving(engine, LeavingSource.ENGINE)
        while node.model.busy or (node.host.calls and node.host.alive):
            await asyncio.sleep(STOP_POLL)
        node.host.refusing = True
        await self._flush(node.host)
        if self.engines.get(engine) is node:
            self._note_cut(node.host)
            await self._empty_buffers(node.host)
        if self.engines.get(engine) is node:
            self.kill_engine(engine)

    def mark_leaving(self, engine: EngineId, source: LeavingSource) -> None:
        """Marks an engine as leaving, on the machine list or by itself."""
        at = self.now
        if source == LeavingSource.ENGINE:
            self.engines[engine].model.leaving = True
        else:
            self.platform.mark_leaving(engine)
            at += self.platform.machine_lag
        self.records.leaving.append(LeavingMark(engine, source, at))

    # Network and platform

    def cut_zones(self, first: ZoneId, second: ZoneId, one_way: bool = False) -> None:
        """Cuts a pair of zones, in one direction or both."""
        cuts = self.network.conditions.zone_cuts
        cuts.add((first, second))
        if not one_way:
            cuts.add((second, first))
        self.faults.begin("zones")

    def cut_link(self, first: Host, second: Host) -> None:
        """Cuts the link from one host to another, in that direction only."""
        self.network.conditions.link_cuts.add((first.address, second.address))
        self.faults.begin("links")

    def lose_zone(self, zone: ZoneId) -> None:
        """Kills every daemon and engine of a zone."""
        for name in [name for name in self.daemons if self.homes[name] == zone]:
            self.kill_daemon(name)
        for machine in self.shape.machines:
            if machine.zone == zone and machine.engine in self.engines:
                self.kill_engine(machine.engine)

    def set_platform_down(self, down: bool) -> None:
        """Takes the platform down or up."""
        self.platform.faults.down = down
        self.faults.set("platform", down)

    def set_platform_slow(self, seconds: float) -> None:
        """Delays every answer of the platform."""
        self.platform.faults.slow_seconds = seconds
        self.faults.set("slow platform", seconds > 0)

    def heal(self) -> None:
        """Ends every fault of network and platform, and thaws all hosts."""
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

    def revive(self) -> None:
        """Starts every daemon and engine that is not running."""
        for name in self.homes:
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
        self.ended.append(node)
        self._daemons_by_address.pop(node.host.address, None)

    def _machine(self, engine: EngineId) -> Machine:
        return next(machine for machine in self.shape.machines if machine.engine == engine)

    async def _fetch_weights(self, host: Host, policy, version: int) -> bool:
        for _ in range(10):
            try:
                return await self.network.call(
                    host,
                    self.platform_host,
                    lambda: self.platform.fetch_weights(policy, version),
                    timeout=5.0,
                )
            except RateLimitedError:
                await asyncio.sleep(0.3)
            except (HostUnreachableError, PlatformDownError):
                return False
        return False

    async def _flush(self, host: Host) -> None:
        """Waits for refusals being written; a frozen host writes them once it is thawed."""
        await host.gate()
        deadline = self.now + ANSWER_FLUSH
        while host.calls and self.now < deadline:
            await asyncio.sleep(STOP_POLL)

    async def _empty_buffers(self, host: Host) -> None:
        """Waits until what was sent has arrived; a kernel does so after the process has ended."""
        while host.in_transit:
            await asyncio.sleep(STOP_POLL)

    def _note_cut(self, host: Host) -> None:
        if host.calls:
            self.records.cut_by_stop.append(f"{host.address} at {self.now:.2f}: {host.calls}")

    def _all_loads_known(self) -> bool:
        return all(
            len(node.daemon.board.engines.loads) == len(self.shape.machines)
            for node in self.daemons.values()
        )

    async def _wait_until(self, condition: Callable[[], bool], limit: float = 60.0) -> None:
        deadline = self.now + limit
        while not condition():
            if self.now > deadline:
                raise TimeoutError("the simulated fleet did not become ready")
            await asyncio.sleep(0.1)


def _make_silent_daemon(settings: Settings, ports: Ports, rng: random.Random) -> Daemon:
    return Daemon(settings, ports, rng, log=False)


def _daemon_address(name: DaemonId) -> Address:
    return Address(f"{name}:1")


def _engine_address(engine: EngineId) -> Address:
    return Address(f"{engine}:2")
