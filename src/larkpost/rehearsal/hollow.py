"""Hollow daemons: many real daemons in one process, with real messages and in-memory engines.

Membership, facts, configuration, ownership, load summaries and weight swaps run unchanged over
real sockets; only the engines are replaced, since their number is what a machine cannot bear. The
process writes what it observed as one JSON line when it is stopped.
"""

import asyncio
import random
import resource
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import asdict, dataclass, field

import aiohttp
import orjson
import psutil

from larkpost.api.app import make_app
from larkpost.blackboard.members import MemberInfo
from larkpost.clock import LoopClock
from larkpost.daemon import Daemon, Ports
from larkpost.engines.http_adapter import HttpEnginePort
from larkpost.engines.port import (
    EngineBrokenError,
    EngineChunk,
    EngineNotSentError,
    EngineReport,
    GenerateRequest,
    Order,
    OrderKind,
    StaleTokenError,
)
from larkpost.http_server import HttpServer
from larkpost.ids import Address, AttemptId, DaemonId, EngineId, ZoneId
from larkpost.settings import Settings
from larkpost.table_service.http_adapter import HttpPlatform
from larkpost.wire.http_peer import HttpPeerTransport, TelemetrySource

HOLLOW_PREFIX = "hollow-"
"""Engine addresses with this prefix are in-memory engines."""
SLOTS = 32
SAMPLE_SECONDS = 1.0


@dataclass(slots=True)
class _HollowEngine:
    """An engine that only keeps its token and version."""

    version: int = 0
    token: int = 0
    owner: DaemonId | None = None
    swap_ends: float = 0.0
    next_version: int = 0


class HollowEngines:
    """The engine port: in-memory engines beside real ones."""

    def __init__(self, real: HttpEnginePort, swap_seconds: float) -> None:
        self._real = real
        self._swap_seconds = swap_seconds
        self._engines: dict[Address, _HollowEngine] = {}
        self.swapped_at: dict[Address, dict[int, float]] = {}

    async def generate(
        self,
        address: Address,
        request: GenerateRequest,
        chunk_timeout: float,
        may_send: Callable[[], bool],
    ) -> AsyncIterator[EngineChunk]:
        raise EngineNotSentError("a hollow engine generates nothing")
        yield

    async def resume(
        self, address: Address, attempt: AttemptId, offset: int, chunk_timeout: float
    ) -> AsyncIterator[EngineChunk]:
        raise EngineBrokenError("a hollow engine generates nothing")
        yield

    async def cancel(self, address: Address, attempt: AttemptId) -> None:
        return

    async def report(self, address: Address, timeout: float) -> EngineReport:
        if not address.startswith(HOLLOW_PREFIX):
            return await self._real.report(address, timeout)
        engine = self._get(address)
        self._finish_swap(address, engine)
        name = EngineId(address.partition(":")[0])
        swapping = engine.next_version > engine.version
        return EngineReport(
            name, 4, 0, SLOTS, engine.version, False, engine.token, engine.owner, swapping
        )

    async def order(self, address: Address, order: Order, timeout: float) -> None:
        if not address.startswith(HOLLOW_PREFIX):
            await self._real.order(address, order, timeout)
            return
        engine = self._get(address)
        claim = order.kind == OrderKind.CLAIM
        if order.token < engine.token or (claim and order.token == engine.token):
            raise StaleTokenError("stale", engine.token)
        engine.token, engine.owner = order.token, order.owner
        if order.kind == OrderKind.LOAD_VERSION and order.version > engine.next_version:
            engine.next_version = order.version
            engine.swap_ends = time.monotonic() + self._swap_seconds

    def _get(self, address: Address) -> _HollowEngine:
        return self._engines.setdefault(address, _HollowEngine())

    def _finish_swap(self, address: Address, engine: _HollowEngine) -> None:
        if engine.next_version > engine.version and time.monotonic() >= engine.swap_ends:
            engine.version = engine.next_version
            times = self.swapped_at.setdefault(address, {})
            times[engine.version] = engine.swap_ends


@dataclass(frozen=True, slots=True)
class _Sample:
    """The process at one moment."""

    at: float
    cpu_seconds: float
    rss_bytes: int
    bytes_sent: float
    bytes_received: float
    loop_lag: float


@dataclass(slots=True)
class HollowReport:
    """What one process of hollow daemons observed. Times are system-wide monotonic seconds."""

    daemons: int
    ready_at: float = 0.0
    samples: list[_Sample] = field(default_factory=list)
    epochs: dict[str, dict[int, float]] = field(default_factory=dict)
    """Per daemon, when it took each epoch."""
    swaps: dict[str, dict[int, float]] = field(default_factory=dict)
    """Per engine, when it had each version."""
    deaths: dict[str, list[float]] = field(default_factory=dict)
    """Per daemon, when it came to hold each other daemon dead."""


class HollowGroup:
    """All hollow daemons of a process."""

    def __init__(
        self,
        zone: ZoneId,
        addresses: list[Address],
        peers: list[Address],
        platform: Address,
        fleet_size: int,
        swap_seconds: float,
    ) -> None:
        self._zone = zone
        self._addresses = addresses
        self._peers = peers
        self._platform = platform
        self._fleet_size = fleet_size
        self._swap_seconds = swap_seconds
        self._daemons: list[Daemon] = []
        self.report = HollowReport(len(addresses))

    async def run(self) -> None:
        """Runs until SIGTERM, then writes the report."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
        async with aiohttp.ClientSession(connector=connector) as session:
            engines = HollowEngines(HttpEnginePort(session), self._swap_seconds)
            for address in self._addresses:
                await self._start(address, session, engines)
            sampler = asyncio.create_task(self._observe())
            await stop.wait()
            sampler.cancel()
            self.report.swaps = dict(engines.swapped_at)
            options = orjson.OPT_NON_STR_KEYS
            sys.stdout.write(orjson.dumps(asdict(self.report), option=options).decode() + "\n")
            sys.stdout.flush()

    async def _start(
        self, address: Address, session: aiohttp.ClientSession, engines: HollowEngines
    ) -> None:
        settings = Settings(
            daemon_id=DaemonId(f"{self._zone}-{address.rpartition(':')[2]}"),
            zone=self._zone,
            listen=address,
            peers=tuple(self._peers),
            platform=self._platform,
        )
        source = TelemetrySource()
        transport = HttpPeerTransport(session, source)
        platform = HttpPlatform(session, self._platform)
        ports = Ports(LoopClock(), transport, engines, platform, platform)
        daemon = Daemon(settings, ports, random.Random(), log=False)
        source.telemetry = daemon.telemetry
        self._record(daemon)
        await HttpServer(make_app(daemon), address).start()
        await transport.listen(address, daemon.gossip.receive)
        self._daemons.append(daemon)
        daemon.start()

    def _record(self, daemon: Daemon) -> None:
        name = daemon.settings.daemon_id
        epochs = self.report.epochs.setdefault(name, {})
        deaths = self.report.deaths.setdefault(name, [])

        def on_configuration(_fact) -> None:
            epochs.setdefault(daemon.board.configuration.epoch, time.monotonic())

        def on_member(member: MemberInfo) -> None:
            if not member.usable:
                deaths.append(time.monotonic())

        daemon.board.facts.listen("configuration", on_configuration)
        daemon.board.members.listen(on_member)

    async def _observe(self) -> None:
        process = psutil.Process()
        while True:
            started = time.monotonic()
            await asyncio.sleep(SAMPLE_SECONDS)
            lag = time.monotonic() - started - SAMPLE_SECONDS
            self._check_ready()
            usage = resource.getrusage(resource.RUSAGE_SELF)
            sample = _Sample(
                time.monotonic(),
                usage.ru_utime + usage.ru_stime,
                process.memory_info().rss,
                self._sum("control_bytes_sent"),
                self._sum("control_bytes_received"),
                lag,
            )
            self.report.samples.append(sample)

    def _check_ready(self) -> None:
        if self.report.ready_at or not all(
            daemon.readiness.admits and len(daemon.board.members.alive()) >= self._fleet_size
            for daemon in self._daemons
        ):
            return
        self.report.ready_at = time.monotonic()
        sys.stdout.write('{"ready":true}\n')
        sys.stdout.flush()

    def _sum(self, counter: str) -> float:
        kinds = ("", "request")
        return sum(d.telemetry.value(counter, kind) for d in self._daemons for kind in kinds)
