"""The processes of a soak, the links between them, and the faults that strike both."""

import asyncio
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import orjson

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.store.port import RowKey, Transaction, WriteOutcome
from larkpost.platform import names
from larkpost.platform.stand_in.daemon_settings import DaemonPlace, write_settings
from larkpost.platform.stand_in.programs import server_arguments
from larkpost.platform.stand_in.rows import (
    StandInServer,
    configuration_change,
    evacuation_change,
    version_change,
)
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import Process, ProcessGroup, free_address
from tests.platform_checks import CALL_ATTEMPTS
from tests.process_soak.callers import ONCE_PREFIX
from tests.process_soak.daemon_program import SUSPENDED_SIGNAL
from tests.process_soak.plan import Fault, Kind
from tests.process_soak.proxy import FaultProxy, LinkFault
from tests.process_soak.records import (
    FAILING_CALL,
    FORGET_CALL,
    LATE_ORDERS_CALL,
    STORE_FAULTS_CALL,
    Evacuation,
)

STORE_MODULE = "tests.process_soak.store_program"
SERVER_MODULE = "tests.process_soak.server_program"
DAEMON_MODULE = "tests.process_soak.daemon_program"
ENGINES, PAGES = ServiceName("engines"), ServiceName("pages")
MODEL = ModelName("model")
ZONES = (ZoneId("north"), ZoneId("south"))
"""Servers stand in turn in either."""
STORE_FAULTS = {
    Kind.STORE_REFUSES: {"refuses": True},
    Kind.STORE_LOSES_ANSWERS: {"lost_answers": 0.3},
    Kind.STORE_WRITES_LATE: {"late_writes": 0.3},
    Kind.STORE_SLOW: {"slow_seconds": 0.2},
    Kind.STORE_PARTS_DOWN: {"parts_down": ["b0", "b1", "b2", "b3"]},
}
DAEMONS, ENGINE_COUNT, PAGE_COUNT = 4, 3, 2
ENGINE_SLOTS, PAGE_SLOTS = 8, 6
ROW_BYTES = 65536
STORE_SECONDS = 2.0
STOP_SECONDS = 12.0
CRASH_STATUS = 1
"""Exit status of a server that a request has crashed."""
CRASH_LOOK_SECONDS = 0.1
CRASH_RESTART_SECONDS = 2.5


@dataclass(slots=True)
class Server:
    """A server's place: its proxy stays, its instances follow one another."""

    service: ServiceName
    number: int
    own: Address
    proxy: FaultProxy
    process: Process
    lives: int = 1


@dataclass(slots=True)
class Daemon:
    """A daemon's place: its settings, its links, and its process."""

    place: DaemonPlace
    environment: dict[str, str]
    front: FaultProxy
    store: FaultProxy
    process: Process


class Site:
    """All processes and links.

    Args:
        mutant: the broken mechanism of all daemons, or None.
        daemons: how many there are.
    """

    def __init__(
        self,
        group: ProcessGroup,
        folder: Path,
        mutant: str | None = None,
        daemons: int = DAEMONS,
    ) -> None:
        self._mutant = mutant
        self._daemon_count = daemons
        self._group = group
        self._folder = folder
        self._store_address = free_address()
        self._daemons_store = free_address()
        self._store = group.start_module(
            "store", STORE_MODULE, self._store_address, self._daemons_store
        )
        self._refuser_address = free_address()
        self._refuser = HttpServer(_refuse, self._refuser_address)
        self._client = HttpStore(self._store_address, ROW_BYTES)
        self._configuration = 0
        self.configured_at: dict[int, float] = {}
        self.evacuations: list[Evacuation] = []
        self._started = 0
        self._crashed: dict[int, asyncio.Task] = {}
        """Restarts under way of servers that have ended by themselves, by number."""
        self.servers: list[Server] = []
        self.daemons: list[Daemon] = []

    async def start(self) -> None:
        """Starts everything."""
        await self._refuser.start()
        await self.change_configuration()
        for number in range(ENGINE_COUNT + PAGE_COUNT):
            service = ENGINES if number < ENGINE_COUNT else PAGES
            own = free_address()
            proxy = FaultProxy(own, is_mirror=True)
            await proxy.start()
            process = self._start_server(service, number, own, proxy, 1)
            self.servers.append(Server(service, number, own, proxy, process))
        for _ in range(self._daemon_count):
            self.daemons.append(await self._new_daemon())
        self._restarts = asyncio.create_task(self._restart_crashed())

    async def close(self) -> None:
        """Closes the links; the processes are the group's to end."""
        for task in [self._restarts, *self._crashed.values()]:
            task.cancel()
        for proxy in self._proxies():
            await proxy.close()
        await self._refuser.close()
        await self._client.close()

    def fronts(self) -> list[Address]:
        """Returns the daemons' addresses, as callers reach them."""
        return [daemon.front.address for daemon in self.daemons]

    def outputs(self) -> list[Path]:
        """Returns the files that hold the servers' records."""
        return sorted([*self._folder.glob("server-*.out"), *self._folder.glob("store.out")])

    async def change_configuration(self) -> None:
        """Writes a newer configuration, with a route that the one before had not."""
        self._configuration += 1
        slots = ENGINE_SLOTS
        change = configuration_change(self._configuration, ENGINES, PAGES, slots, (MODEL,))
        document = orjson.loads(change.puts[0][1])
        pages = next(route for route in document["routes"] if route["service"] == PAGES)
        pages["max-attempts"] = CALL_ATTEMPTS
        once = pages | {"name": "orders", "path-prefix": ONCE_PREFIX, "kind": "non_idempotent"}
        added = once | {"name": "added", "path-prefix": f"/added-{self._configuration}/"}
        document["routes"] += [once, added]
        key = RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY)
        await self._write(Transaction(puts=((key, orjson.dumps(document)),)))
        self.configured_at[self._configuration] = time.monotonic()

    async def name_version(self, model: ModelName, version: int) -> None:
        """Names a weight version."""
        await self._write(version_change(model, version))

    async def strike(self, fault: Fault) -> None:
        """Carries a fault out and ends it."""
        match fault.kind:
            case Kind.DAEMON_KILL:
                await self._restart(self._daemon(fault), signal.SIGKILL, fault.seconds)
            case Kind.DAEMON_STOP:
                await self._restart(self._daemon(fault), signal.SIGTERM, fault.seconds)
            case Kind.ALL_DAEMONS_KILL:
                restarts = (
                    self._restart(daemon, signal.SIGKILL, fault.seconds) for daemon in self.daemons
                )
                await asyncio.gather(*restarts)
            case Kind.DAEMON_MOVE:
                await self._move(fault)
            case Kind.DAEMON_PAUSE:
                await self._pause(self._daemon(fault).process, fault.seconds)
            case Kind.DAEMON_SUSPEND:
                await self._suspend(self._daemon(fault).process, fault.seconds)
            case Kind.STORE_TURNS_AWAY:
                await self._turn_away(self._daemon(fault), fault.seconds)
            case Kind.STORE_FORGETS:
                await self._control(self._store_address, FORGET_CALL, b"")
            case kind if kind in STORE_FAULTS:
                await self._trouble_store(STORE_FAULTS[kind], fault.seconds)
            case Kind.STORE_PAUSE:
                await self._pause(self._store, fault.seconds)
            case Kind.SERVER_PAUSE:
                await self._pause(self._server(fault).process, fault.seconds)
            case Kind.STORE_LINK:
                await self._harm(self._daemon(fault).store, fault)
            case Kind.FRONT_LINK:
                await self._harm(self._daemon(fault).front, fault)
            case Kind.SERVER_LINK | Kind.SERVER_GARBLES:
                await self._harm(self._server(fault).proxy, fault)
            case Kind.ORDERS_LATE:
                await self._delay_orders(fault)
            case Kind.SERVER_KILL:
                await self._replace_server(self._server(fault), fault.seconds)
            case Kind.SCORER_FAILS:
                await self._fail_scorer(fault)
            case Kind.GOOD_SETTINGS | Kind.BAD_SETTINGS:
                self._change_settings(self._daemon(fault), good=fault.kind is Kind.GOOD_SETTINGS)
            case Kind.CONFIGURATION:
                await self.change_configuration()
            case Kind.EVACUATION:
                await self._evacuate(ZONES[fault.target % len(ZONES)], fault.seconds)

    async def _evacuate(self, zone: ZoneId, seconds: float) -> None:
        """Evacuates a zone for a while, unless it is evacuated already."""
        if any(span.zone == zone and span.ended_at == float("inf") for span in self.evacuations):
            return
        span = Evacuation(zone, float("inf"))
        self.evacuations.append(span)
        await self._write(evacuation_change(zone, is_on=True))
        span.began_at = time.monotonic()
        await asyncio.sleep(seconds)
        span.ended_at = time.monotonic()
        await self._write(evacuation_change(zone, is_on=False))

    def _daemon(self, fault: Fault) -> Daemon:
        return self.daemons[fault.target % len(self.daemons)]

    def _server(self, fault: Fault) -> Server:
        return self.servers[fault.target % len(self.servers)]

    def _proxies(self) -> list[FaultProxy]:
        fronts = [daemon.front for daemon in self.daemons]
        stores = [daemon.store for daemon in self.daemons]
        return fronts + stores + [server.proxy for server in self.servers]

    async def _new_daemon(self) -> Daemon:
        front, store = FaultProxy(free_address()), FaultProxy(self._daemons_store)
        place = DaemonPlace(
            f"daemon-{self._started}",
            ZoneId("z"),
            front.upstream,
            free_address(),
            free_address(),
            store.address,
        )
        self._started += 1
        await front.start()
        await store.start()
        environment = write_settings(place, self._folder)
        return Daemon(place, environment, front, store, self._start_daemon(place, environment))

    def _start_daemon(self, place: DaemonPlace, environment: dict[str, str]) -> Process:
        mutants = [self._mutant] if self._mutant is not None else []
        return self._group.start_module(
            place.machine, DAEMON_MODULE, *mutants, environment=environment
        )

    def _start_server(
        self, service: ServiceName, number: int, own: Address, proxy: FaultProxy, life: int
    ) -> Process:
        is_engine = service == ENGINES
        server = StandInServer(
            InstanceId(f"{service}-{number}-{life}"),
            service,
            proxy.address,
            ZONES[number % len(ZONES)],
            ENGINE_SLOTS if is_engine else PAGE_SLOTS,
            {MODEL: 1} if is_engine else {},
        )
        return self._group.start_module(
            f"server-{number}-{life}",
            SERVER_MODULE,
            own,
            self._store_address,
            *server_arguments(server),
        )

    async def _restart(self, daemon: Daemon, number: signal.Signals, seconds: float) -> None:
        process = daemon.process
        process.send(signal.SIGCONT)
        process.send(number)
        await _ended(process)
        await asyncio.sleep(seconds)
        if daemon.process is process and daemon in self.daemons:
            daemon.process = self._start_daemon(daemon.place, daemon.environment)

    async def _move(self, fault: Fault) -> None:
        """Kills a daemon for good; another one starts under a new address."""
        old = self._daemon(fault)
        old.process.send(signal.SIGKILL)
        self.daemons.remove(old)
        self.daemons.append(await self._new_daemon())
        await old.front.close()
        await old.store.close()

    async def _pause(self, process: Process, seconds: float) -> None:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def _suspend(self, process: Process, seconds: float) -> None:
        """Stops a daemon's process; its plain steady clock stands still meanwhile."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(SUSPENDED_SIGNAL)
        process.send(signal.SIGCONT)

    async def _restart_crashed(self) -> None:
        """Starts another instance a while after a server has ended by itself."""
        while True:
            for server in self.servers:
                process = server.process
                if process.popen.poll() == CRASH_STATUS and server.number not in self._crashed:
                    self._crashed[server.number] = asyncio.create_task(self._start_next(server))
            await asyncio.sleep(CRASH_LOOK_SECONDS)

    async def _start_next(self, server: Server) -> None:
        process = server.process
        await asyncio.sleep(CRASH_RESTART_SECONDS)
        self._follow(server, process)
        del self._crashed[server.number]

    def _follow(self, server: Server, process: Process) -> None:
        """Starts the instance that follows one that has ended, unless another fault has."""
        if server.process is process:
            server.lives += 1
            server.process = self._start_server(
                server.service, server.number, server.own, server.proxy, server.lives
            )

    async def _harm(self, proxy: FaultProxy, fault: Fault) -> None:
        proxy.harm(fault.link)
        await asyncio.sleep(fault.seconds)
        proxy.harm(LinkFault.NONE)

    async def _replace_server(self, server: Server, seconds: float) -> None:
        process = server.process
        process.send(signal.SIGKILL)
        await _ended(process)
        await asyncio.sleep(seconds)
        self._follow(server, process)

    async def _turn_away(self, daemon: Daemon, seconds: float) -> None:
        """Lets the store refuse all calls of one daemon."""
        upstream, daemon.store.upstream = daemon.store.upstream, self._refuser_address
        daemon.store.break_off()
        await asyncio.sleep(seconds)
        daemon.store.upstream = upstream
        daemon.store.break_off()

    async def _trouble_store(self, faults: dict, seconds: float) -> None:
        """Lets faults strike the calls of all daemons; a later fault of the kind replaces them."""
        await self._control(self._store_address, STORE_FAULTS_CALL, orjson.dumps(faults))
        await asyncio.sleep(seconds)
        await self._control(self._store_address, STORE_FAULTS_CALL, b"{}")

    async def _fail_scorer(self, fault: Fault) -> None:
        pages = [server for server in self.servers if server.service == PAGES]
        server = pages[fault.target % len(pages)]
        await self._control(server.own, FAILING_CALL, b"1")
        await asyncio.sleep(fault.seconds)
        await self._control(server.own, FAILING_CALL, b"0")

    async def _delay_orders(self, fault: Fault) -> None:
        engine = self.servers[fault.target % ENGINE_COUNT]
        await self._control(engine.own, LATE_ORDERS_CALL, b"1")
        await asyncio.sleep(fault.seconds)
        await self._control(engine.own, LATE_ORDERS_CALL, b"0")

    async def _control(self, address: Address, call: str, body: bytes) -> None:
        """Tells a stand-in what to do, unless another fault has struck it too."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                asyncio.timeout(STORE_SECONDS),
                session.post(f"http://{address}{call}", data=body) as answer,
            ):
                assert answer.status == 200, f"{call}: {answer.status}"
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    def _change_settings(self, daemon: Daemon, *, good: bool) -> None:
        path = Path(daemon.environment[names.SETTINGS_VARIABLE])
        text = path.read_text(encoding="utf-8")
        changed = text + f"# changed at {time.monotonic()}\n"
        path.write_text(changed if good else "this is no TOML = [", encoding="utf-8")
        daemon.process.send(signal.SIGHUP)
        if not good:
            asyncio.get_running_loop().call_later(1.5, path.write_text, changed)

    async def _write(self, change: Transaction) -> None:
        """Writes as the operator does, until the store has done it."""
        while (await self._client.write(change, STORE_SECONDS)).outcome is not WriteOutcome.DONE:
            await asyncio.sleep(0.1)


async def _refuse(scope: dict, receive, send) -> None:
    """Answers every call as a store does that turns a machine away."""
    await receive()
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def _ended(process: Process) -> None:
    """Waits for the end of a process; kills it if a planned stop takes too long."""
    give_up_at = time.monotonic() + STOP_SECONDS
    while process.popen.poll() is None:
        if time.monotonic() > give_up_at:
            process.send(signal.SIGKILL)
        await asyncio.sleep(0.05)
