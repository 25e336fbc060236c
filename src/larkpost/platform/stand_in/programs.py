"""Runs the fake store or a fake server as a process.

Run as ``python -m larkpost.platform.stand_in.programs`` with ``store ADDRESS``, or with ``server``,
the store's address and the arguments that `server_arguments` returns.
"""

import asyncio
import sys
from dataclasses import replace

from larkpost.common.clock import Clock, LoopClock
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.store.port import Transaction
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import EngineState
from larkpost.platform.stand_in.memory_store import MemoryStore
from larkpost.platform.stand_in.rows import StandInServer, server_transaction
from larkpost.platform.stand_in.server_app import ServerApp
from larkpost.platform.stand_in.store_app import StoreApp
from larkpost.platform.store import HttpStore

HEARTBEAT_SECONDS = 0.4
ENTRY_TTL_SECONDS = 1.5
WRITE_SECONDS = 1.0
ROW_BYTES = 65536


async def run_store(address: Address) -> None:
    """Serves the store and removes the entries of servers whose heartbeats have stopped."""
    clock = LoopClock()
    store = MemoryStore(clock)
    await HttpServer(StoreApp(store, clock).app(), address).start()
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        remove_expired_servers(store, clock)


def remove_expired_servers(store: MemoryStore, clock: Clock) -> None:
    """Removes the entries of servers that have not been written for `ENTRY_TTL_SECONDS`."""
    removals = tuple(
        key
        for key in store.rows
        if key.table == names.SERVER_TABLE
        and clock.now() - store.written_at[key] > ENTRY_TTL_SECONDS
    )
    if removals:
        store.apply(Transaction(removals=removals))


async def run_server(server: StandInServer, store: Address) -> None:
    """Serves as an instance of a service and keeps its entry in the store up to date."""
    state = EngineState(slots=server.slots, versions=dict(server.versions))
    await HttpServer(ServerApp(server.id, state).app(), server.address).start()
    await keep_listed(server, state, store)


async def keep_listed(server: StandInServer, state: EngineState, store: Address) -> None:
    """Writes a server's entry with its current versions at each heartbeat."""
    client = HttpStore(store, ROW_BYTES)
    while True:
        entry = replace(server, versions=dict(state.versions))
        await client.write(server_transaction(entry), WRITE_SECONDS)
        await asyncio.sleep(HEARTBEAT_SECONDS)


def read_server(arguments: list[str]) -> StandInServer:
    """Parses a server from the arguments that `server_arguments` returns."""
    instance, service, address, zone, slots, models = arguments
    return StandInServer(
        InstanceId(instance),
        ServiceName(service),
        Address(address),
        ZoneId(zone),
        int(slots),
        dict.fromkeys((ModelName(name) for name in models.split(",") if name), 1),
    )


def server_arguments(server: StandInServer) -> list[str]:
    """Returns the program arguments of a server; each model starts at version 1."""
    return [
        server.id,
        server.service,
        server.address,
        server.zone,
        str(server.slots),
        ",".join(server.versions),
    ]


def main(arguments: list[str]) -> None:
    """Runs the store or a server until the process is terminated."""
    kind, *rest = arguments
    if kind == "store":
        asyncio.run(run_store(Address(rest[0])))
    else:
        store, *server = rest
        asyncio.run(run_server(read_server(server), Address(store)))


if __name__ == "__main__":
    main(sys.argv[1:])
