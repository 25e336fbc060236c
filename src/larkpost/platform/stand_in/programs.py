"""The stand-ins as processes.

Run as ``python -m larkpost.platform.stand_in.programs store|server ...``.
"""

import asyncio
import sys

from larkpost.common.clock import Clock, LoopClock
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.store.port import Transaction
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import EngineState
from larkpost.platform.stand_in.memory_store import MemoryStore
from larkpost.platform.stand_in.rows import StandInServer, server_change
from larkpost.platform.stand_in.server_app import ServerApp
from larkpost.platform.stand_in.store_app import StoreApp
from larkpost.platform.store import HttpStore

HEARTBEAT_SECONDS = 0.4
LAPSE_SECONDS = 1.5
WRITE_SECONDS = 1.0
ROW_BYTES = 65536


async def run_store(address: Address) -> None:
    """Serves the store, and drops the entries of servers that have fallen silent."""
    clock = LoopClock()
    store = MemoryStore(clock)
    await HttpServer(StoreApp(store, clock).app(), address).start()
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        _drop_silent(store, clock)


def _drop_silent(store: MemoryStore, clock: Clock) -> None:
    """Drops the entries of servers that have not written for some heartbeats."""
    removals = tuple(
        key
        for key in store.rows
        if key.table == names.SERVER_TABLE and clock.now() - store.written_at[key] > LAPSE_SECONDS
    )
    if removals:
        store.apply(Transaction(removals=removals))


async def run_server(
    instance: str, service: str, address: str, zone: str, slots: int, store: str, models: str
) -> None:
    """Serves as one instance of a service and keeps its entry in the store."""
    versions = dict.fromkeys((ModelName(name) for name in models.split(",") if name), 1)
    state = EngineState(slots=slots, versions=versions)
    await HttpServer(ServerApp(InstanceId(instance), state).app(), Address(address)).start()
    client = HttpStore(Address(store), ROW_BYTES)
    while True:
        entry = StandInServer(
            InstanceId(instance),
            ServiceName(service),
            Address(address),
            ZoneId(zone),
            slots,
            dict(state.versions),
        )
        await client.write(server_change(entry), WRITE_SECONDS)
        await asyncio.sleep(HEARTBEAT_SECONDS)


def main(arguments: list[str]) -> None:
    """Runs one stand-in until it is ended."""
    kind, *rest = arguments
    if kind == "store":
        asyncio.run(run_store(Address(rest[0])))
    else:
        instance, service, address, zone, slots, store, models = rest
        asyncio.run(run_server(instance, service, address, zone, int(slots), store, models))


if __name__ == "__main__":
    main(sys.argv[1:])
