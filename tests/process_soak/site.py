"""The processes of a soak, the links between them, and the operator's writes."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import orjson

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.store.port import RowKey, Transaction, WriteOutcome
from larkpost.platform import names
from larkpost.platform.stand_in.daemon_settings import DaemonSettings, write_settings
from larkpost.platform.stand_in.programs import server_arguments
from larkpost.platform.stand_in.rows import (
    BATCH_PREFIX,
    StandInServer,
    configuration_transaction,
    version_transaction,
)
from larkpost.platform.store import HttpStore
from larkpost.rehearsal.processes import Process, ProcessGroup, free_address
from tests.platform_checks import CALL_ATTEMPTS
from tests.process_soak.callers import ONCE_PREFIX
from tests.process_soak.kept_connections import STREAM_PREFIX
from tests.process_soak.proxy import FaultProxy
from tests.process_soak.records import (
    Evacuation,
)

STORE_MODULE = "tests.process_soak.store_program"
SERVER_MODULE = "tests.process_soak.server_program"
DAEMON_MODULE = "tests.process_soak.daemon_program"
ENGINES, PAGES = ServiceName("engines"), ServiceName("pages")
MODEL = ModelName("model")
ZONES = (ZoneId("north"), ZoneId("south"))
"""Servers alternate between them."""
DAEMONS, ENGINE_COUNT, PAGE_COUNT = 4, 3, 2
ENGINE_SLOTS, PAGE_SLOTS = 8, 6
ROW_BYTES = 65536
MEMORY_MB = 160
"""Memory of each daemon; small, so that memory limits take effect."""
STORE_SECONDS = 2.0
CRASH_STATUS = 1
"""Exit status of a crashed server."""
CRASH_POLL_SECONDS = 0.1
CRASH_RESTART_SECONDS = 2.5


@dataclass(slots=True)
class Server:
    """A server; its proxy persists across restarts of its instances."""

    service: ServiceName
    number: int
    own: Address
    proxy: FaultProxy
    process: Process
    incarnation: int = 1


@dataclass(slots=True)
class Daemon:
    """A daemon: its settings, its links, and its process."""

    place: DaemonSettings
    environment: dict[str, str]
    front: FaultProxy
    store: FaultProxy
    process: Process


class Site:
    """All processes and links.

    Args:
        mutant: the mutant that all daemons run, or None.
        daemons: number of daemons.
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
        self.store_address = free_address()
        self._daemons_store = free_address()
        self.store = group.start_module(
            "store", STORE_MODULE, self.store_address, self._daemons_store
        )
        self.refuser_address = free_address()
        self._refuser = HttpServer(_refuse, self.refuser_address)
        self._client = HttpStore(self.store_address, ROW_BYTES)
        self._configuration = 0
        self.configured_at: dict[int, float] = {}
        self.evacuations: list[Evacuation] = []
        self._started = 0
        self._crashed: dict[int, asyncio.Task] = {}
        """Restarts in progress of crashed servers, by number."""
        self.stops: list[tuple[Address, float]] = []
        """Fronts of daemons that got SIGTERM, with the monotonic time."""
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
            self.daemons.append(await self.new_daemon())
        self._restarts = asyncio.create_task(self._restart_crashed())

    async def close(self) -> None:
        """Closes the links; the process group ends the processes."""
        for task in [self._restarts, *self._crashed.values()]:
            task.cancel()
        for proxy in self._proxies():
            await proxy.close()
        await self._refuser.close()
        await self._client.close()

    def fronts(self) -> list[Address]:
        """Returns the addresses at which callers reach the daemons."""
        return [daemon.front.address for daemon in self.daemons]

    def outputs(self) -> list[Path]:
        """Returns the files that hold the servers' records."""
        return sorted([*self._folder.glob("server-*.out"), *self._folder.glob("store.out")])

    async def change_configuration(self, *, has_rollouts: bool = True) -> None:
        """Writes a new configuration version, with a route that the previous one lacked.

        Args:
            has_rollouts: whether batches have a route.
        """
        self._configuration += 1
        slots = ENGINE_SLOTS
        change = configuration_transaction(self._configuration, ENGINES, PAGES, slots, (MODEL,))
        document = orjson.loads(change.puts[0][1])
        pages = next(route for route in document["routes"] if route["service"] == PAGES)
        pages["max-attempts"] = CALL_ATTEMPTS
        once = pages | {"name": "orders", "path-prefix": ONCE_PREFIX, "kind": "non_idempotent"}
        added = once | {"name": "added", "path-prefix": f"/added-{self._configuration}/"}
        streams = once | {
            "name": "streams",
            "path-prefix": STREAM_PREFIX,
            "kind": "stream",
            "timeout-ms": 10_000,
        }
        document["routes"] += [once, added, streams]
        if not has_rollouts:
            document["routes"] = [
                route for route in document["routes"] if route["path-prefix"] != BATCH_PREFIX
            ]
        key = RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY)
        await self.write(Transaction(puts=((key, orjson.dumps(document)),)))
        self.configured_at[self._configuration] = time.monotonic()

    async def publish_version(self, model: ModelName, version: int) -> None:
        """Publishes a weight version."""
        await self.write(version_transaction(model, version))

    def _proxies(self) -> list[FaultProxy]:
        fronts = [daemon.front for daemon in self.daemons]
        stores = [daemon.store for daemon in self.daemons]
        return fronts + stores + [server.proxy for server in self.servers]

    async def new_daemon(self) -> Daemon:
        """Starts a daemon with a new name and its own links."""
        front, store = FaultProxy(free_address()), FaultProxy(self._daemons_store)
        place = DaemonSettings(
            f"daemon-{self._started}",
            ZoneId("z"),
            front.upstream,
            free_address(),
            free_address(),
            store.address,
            MEMORY_MB,
        )
        self._started += 1
        await front.start()
        await store.start()
        environment = write_settings(place, self._folder)
        return Daemon(place, environment, front, store, self.start_daemon(place, environment))

    def start_daemon(self, place: DaemonSettings, environment: dict[str, str]) -> Process:
        """Starts the process of a daemon."""
        mutants = [self._mutant] if self._mutant is not None else []
        return self._group.start_module(
            place.machine, DAEMON_MODULE, *mutants, environment=environment
        )

    def _start_server(
        self, service: ServiceName, number: int, own: Address, proxy: FaultProxy, incarnation: int
    ) -> Process:
        is_engine = service == ENGINES
        server = StandInServer(
            InstanceId(f"{service}-{number}-{incarnation}"),
            service,
            proxy.address,
            ZONES[number % len(ZONES)],
            ENGINE_SLOTS if is_engine else PAGE_SLOTS,
            {MODEL: 1} if is_engine else {},
        )
        return self._group.start_module(
            f"server-{number}-{incarnation}",
            SERVER_MODULE,
            own,
            self.store_address,
            *server_arguments(server),
        )

    async def _restart_crashed(self) -> None:
        """Restarts crashed servers after a delay."""
        while True:
            for server in self.servers:
                process = server.process
                if process.popen.poll() == CRASH_STATUS and server.number not in self._crashed:
                    self._crashed[server.number] = asyncio.create_task(self._start_next(server))
            await asyncio.sleep(CRASH_POLL_SECONDS)

    async def _start_next(self, server: Server) -> None:
        process = server.process
        await asyncio.sleep(CRASH_RESTART_SECONDS)
        self.follow(server, process)
        del self._crashed[server.number]

    def follow(self, server: Server, process: Process) -> None:
        """Starts the next instance of a server, unless another fault has already done so."""
        if server.process is process:
            server.incarnation += 1
            server.process = self._start_server(
                server.service, server.number, server.own, server.proxy, server.incarnation
            )

    async def write(self, change: Transaction) -> None:
        """Writes as the operator, retrying until the store has applied it."""
        while (await self._client.write(change, STORE_SECONDS)).outcome is not WriteOutcome.DONE:
            await asyncio.sleep(0.1)


async def _refuse(scope: dict, receive, send) -> None:
    """Responds with 503 to every call, as a store that refuses a machine does."""
    await receive()
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
