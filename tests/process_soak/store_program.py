"""The store of a soak: faults affect the calls of daemons, not those of the operator and servers.

Run as ``python -m tests.process_soak.store_program`` with the address for the operator and servers,
and the one for daemons.
"""

import asyncio
import sys
from dataclasses import fields
from typing import Any

import orjson
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from larkpost.common.clock import LoopClock
from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address
from larkpost.platform import names
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreFaults
from larkpost.platform.stand_in.programs import HEARTBEAT_SECONDS, remove_expired_servers
from larkpost.platform.stand_in.store_app import StoreApp
from tests.process_soak.records import FORGET_CALL, STORE_FAULTS_CALL, RecordKind, write_record


class FaultFreeStore:
    """The in-memory store as the operator and servers see it: the same rows without faults."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.faults = StoreFaults()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)


class RecordingStoreApp(StoreApp):
    """The store as daemons see it; it records the usage reports that it accepts."""

    async def _accept_usage(self, request: Request) -> Response:
        response = await super()._accept_usage(request)
        if response.status_code == 200:
            document = orjson.loads(await request.body())
            write_record(
                RecordKind.USAGE,
                window=document["window-id"],
                counts=document["counts"],
                holder=request.headers[names.LEASE_HOLDER.decode()],
                token=int(request.headers[names.FENCING_TOKEN.decode()]),
            )
        return response


def read_faults(content: bytes) -> StoreFaults:
    """Parses faults from a document of the fields that differ from their defaults.

    Raises:
        ValueError: a field is unknown.
    """
    document = orjson.loads(content)
    unknown = set(document) - {field.name for field in fields(StoreFaults)}
    if unknown:
        raise ValueError(f"unknown store faults: {sorted(unknown)}")
    if "parts_down" in document:
        document["parts_down"] = frozenset(document["parts_down"])
    return StoreFaults(**document)


async def serve(clean: Address, faulty: Address) -> None:
    """Serves both addresses and removes the entries of servers whose heartbeats have stopped."""
    clock = LoopClock()
    store = MemoryStore(clock)

    async def set_faults(request: Request) -> Response:
        store.faults = read_faults(await request.body())
        return Response()

    async def forget(_: Request) -> Response:
        store.forget_history()
        return Response()

    app = StoreApp(FaultFreeStore(store), clock).app()
    app.router.routes.append(Route(STORE_FAULTS_CALL, set_faults, methods=["POST"]))
    app.router.routes.append(Route(FORGET_CALL, forget, methods=["POST"]))
    await HttpServer(app, clean).start()
    await HttpServer(RecordingStoreApp(store, clock).app(), faulty).start()
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        remove_expired_servers(store, clock)


if __name__ == "__main__":
    asyncio.run(serve(Address(sys.argv[1]), Address(sys.argv[2])))
