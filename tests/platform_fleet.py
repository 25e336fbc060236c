"""A fleet of gateways over a store and engines in memory, for tests on virtual time."""

import asyncio
import random

import orjson

from larkpost.clock import LoopClock
from larkpost.eventlog import EventLog
from larkpost.fleet.configuration import (
    Configuration,
    ModelName,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.fleet.directory import InstanceInfo, InstanceState
from larkpost.fleet.weights import WeightTarget
from larkpost.gateway import Gateway, GatewayPorts, GatewaySettings, RowReaders
from larkpost.ids import Address, BatchId, EngineId, ZoneId
from larkpost.rehearsal.memory_store import MemoryStore, StoreClient
from larkpost.rehearsal.scripted_engines import EngineState, ScriptedEngines, output_of
from larkpost.rollouts.model import BatchSpec, GroupId, Item, ItemId, Result, ResultState
from larkpost.rollouts.repository import RESULT_TABLE, BatchRepository
from larkpost.store.port import Row, RowKey, Transaction

MODEL = ModelName("model")
ENGINES = ServiceName("engines")
PAGES = ServiceName("pages")
HEARTBEAT_SECONDS = 0.4
HOST = "trainers.example"
ROUTE = Route(
    name="rollouts",
    host=HOST,
    path_prefix=b"/r/",
    kind=RouteKind.BATCH,
    shares=(ServiceShare(ENGINES, 1.0),),
    time_limit=10.0,
    objective=0.4,
    max_attempts=3,
    resumable=True,
    due=7.5,
    queue_lifetime=40.0,
)
CONFIGURATION = Configuration(
    version=1,
    routes=(ROUTE,),
    services={
        ENGINES: Service(ENGINES, 100, slots=8, models=(MODEL,)),
        PAGES: Service(PAGES, 100),
    },
)


def _read_configuration(row: Row) -> Configuration | None:
    return CONFIGURATION if row.key.key == "configuration" else None


def _read_target(row: Row) -> WeightTarget | None:
    if row.key.key == "configuration":
        return None
    return WeightTarget(ModelName(row.key.key), int(row.value))


def _read_instance(row: Row) -> InstanceInfo:
    fields = orjson.loads(row.value)
    return InstanceInfo(
        EngineId(row.key.key),
        ServiceName(fields["service"]),
        Address("10.0.0.1:1"),
        ZoneId("z"),
        fields["slots"],
        InstanceState(fields["state"]),
        {MODEL: fields["version"]},
        row.version,
    )


READERS = RowReaders("operator", "instances", _read_configuration, _read_target, _read_instance)


class PlatformFleet:
    """Some gateways, engines and a store."""

    def __init__(self, gateways: int = 3, engines: int = 4, seed: int = 0) -> None:
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock, random.Random(seed))
        self.engines = ScriptedEngines(self.clock, MODEL)
        self.clients: list[StoreClient] = []
        self.gateways: list[Gateway] = []
        self.put("operator", "configuration", b"")
        for number in range(engines):
            self.add_engine(EngineId(f"engine-{number}"))
        for number in range(gateways):
            self.add_gateway(f"daemon-{number}")
        self._heartbeats = asyncio.create_task(self._beat())

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operator or an engine does."""
        self.store.apply(Transaction(puts=((RowKey(table, "", key), value),)))

    def add_engine(self, engine: EngineId, state: InstanceState = InstanceState.READY) -> None:
        """Lists an engine."""
        if engine not in self.engines.engines:
            self.engines.engines[engine] = EngineState(versions={MODEL: 1})
        version = self.engines.engines[engine].versions[MODEL]
        entry = {"service": ENGINES, "slots": 8, "state": state, "version": version}
        self.put("instances", engine, orjson.dumps(entry))

    async def _beat(self) -> None:
        """Writes the engines' entries anew when their versions have changed."""
        written = {name: 1 for name in self.engines.engines}
        while True:
            await self.clock.sleep(HEARTBEAT_SECONDS)
            for name, state in self.engines.engines.items():
                if not state.down and state.versions[MODEL] != written.get(name):
                    written[name] = state.versions[MODEL]
                    self.add_engine(name)

    def add_gateway(self, name: str) -> Gateway:
        """Starts a gateway."""
        client = StoreClient(self.store)
        ports = GatewayPorts(
            client, self.engines, self.clock, READERS, EventLog(name), chance=random.Random(name)
        )
        gateway = Gateway(GatewaySettings(name), ports)
        self.clients.append(client)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def kill(self, number: int) -> None:
        """Ends a gateway without notice."""
        gateway = self.gateways[number]
        gateway.stop()
        for owned in list(gateway.keeper._owned.values()):
            owned.stop()
        gateway.keeper._owned.clear()

    async def wait(self, seconds: float) -> None:
        """Lets time pass."""
        await self.clock.sleep(seconds)

    async def read_all(self, gateway: Gateway, batch: str) -> list[Result]:
        """Reads a batch's results from the start until all are there."""
        results: list[Result] = []
        for _ in range(600):
            page = await gateway.batches.read(BatchId(batch), len(results), 1.0)
            results.extend(page.results)
            if len(results) >= page.total:
                break
        return results

    def stored_results(self, batch: str) -> list[Result]:
        """Returns the results that the store holds, in order."""
        prefix = f"{batch}/"
        rows = [
            row
            for key, row in sorted(self.store.rows.items())
            if key.table == RESULT_TABLE and key.key.startswith(prefix)
        ]
        from larkpost.rollouts.codec import decode_result

        return [decode_result(row.value) for row in rows]

    def repository(self) -> BatchRepository:
        """Returns a repository of its own."""
        return BatchRepository(StoreClient(self.store), self.clock)


def make_batch(name: str = "batch", items: int = 12, minimum_version: int = 0) -> BatchSpec:
    """Returns a batch of items in groups of four."""
    return BatchSpec(
        id=BatchId(name),
        host=HOST,
        path="/r/x",
        model=MODEL,
        step=1,
        minimum_version=minimum_version,
        desired_groups=items // 4,
        items=tuple(
            Item(
                ItemId(f"{name}-{number}"),
                f"/r/{number}",
                (),
                f"body {number}".encode(),
                100 + number,
                GroupId(f"g{number // 4}"),
            )
            for number in range(items)
        ),
    )


def expected_text(item: str) -> str:
    """Returns the whole output of an item."""
    return b"\n".join(output_of(item)).decode()


def check_results(test, spec: BatchSpec, results: list[Result]) -> None:
    """Checks that each item stands once, done, with its whole output."""
    test.assertEqual(
        sorted(item.id for item in spec.items), sorted(result.item for result in results)
    )
    for result in results:
        test.assertEqual(ResultState.DONE, result.state)
        test.assertEqual(expected_text(result.item), result.text)
