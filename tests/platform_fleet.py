"""A fleet of gateways with an in-memory store and engines, for tests in virtual time."""

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import orjson

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, BatchId, InstanceId, RegionId, ZoneId
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ModelName,
    Route,
    RouteKind,
    Service,
    ServiceName,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.blackboard.evacuations import ZoneEvacuation
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.controllers.row_recorder import RowReaders
from larkpost.gateway.daemon import Gateway
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.rollouts.model import (
    BatchSpec,
    GroupId,
    Item,
    ItemId,
    Result,
    ResultState,
    RewardCall,
    RewardCallId,
)
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.scaling.port import ScalingMode
from larkpost.gateway.store.batch_tables import RESULT_TABLE
from larkpost.gateway.store.port import Row, RowKey, Transaction
from larkpost.gateway.store.relay import RelayedStore
from larkpost.gateway.usage.port import UsageTerms
from larkpost.platform.stand_in.engine_state import expected_output
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from tests.platform_checks import CALL_ATTEMPTS
from tests.platform_places import EAST, REGIONS, WatchedClient
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.scripted_scaling import ScriptedScaling
from tests.scripted_usage import ScriptedUsage

MODEL = ModelName("model")
SCORERS = ServiceName("scorers")
OTHER_SCORERS = ServiceName("other-scorers")
SCORER_HOST = "scorers.example"
SCORER_SLOTS = 6
ENGINES = ServiceName("engines")
PAGES = ServiceName("pages")
HEARTBEAT_SECONDS = 0.4
MISSED_HEARTBEATS = 3
"""Number of missed heartbeats after which an instance's entry is removed."""
RESTART_SECONDS = 3.0
"""Time from a crash until another instance serves at the address."""
EVACUATION = "evacuate-"
ZONES = (ZoneId("north"), ZoneId("south"))
"""Zones in which servers are listed in turn."""
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
SCORER_ROUTE = Route(
    name="scores",
    host=SCORER_HOST,
    path_prefix=b"/s/",
    kind=RouteKind.IDEMPOTENT,
    shares=(ServiceShare(SCORERS, 1.0),),
    time_limit=1.5,
    objective=0.2,
    max_attempts=CALL_ATTEMPTS,
)
COLD_SECONDS = 3.0
COLD_TERMS = ColdTerms(overage=1.5, slack=5)
CONFIGURATION = Configuration(
    version=1,
    routes=(ROUTE, SCORER_ROUTE),
    services={
        ENGINES: Service(
            ENGINES, 100, slots=8, models=(MODEL,), cold_start=COLD_SECONDS, cold_rate=9.3
        ),
        PAGES: Service(PAGES, 100),
        SCORERS: Service(SCORERS, 100),
        OTHER_SCORERS: Service(OTHER_SCORERS, 100),
    },
)


MOVED_CONFIGURATION = replace(
    CONFIGURATION,
    version=2,
    routes=(ROUTE, replace(SCORER_ROUTE, shares=(ServiceShare(OTHER_SCORERS, 1.0),))),
)
"""Configuration whose scorer route goes to another service."""
SCALING_TERMS = ScalingTerms(1, 8, 4.0, 0.22, dict.fromkeys(ZONES, 1.0))
SCALED_CONFIGURATION = replace(
    CONFIGURATION,
    version=3,
    services={
        **CONFIGURATION.services,
        ENGINES: replace(CONFIGURATION.services[ENGINES], scaling=SCALING_TERMS),
    },
)
"""Configuration in which engines can be ordered."""
EAST_CONFIGURATION = replace(
    CONFIGURATION,
    version=3,
    routes=tuple(replace(route, regions=frozenset({EAST})) for route in CONFIGURATION.routes),
)
"""Configuration in which only servers in the east may serve."""
CONFIGURATIONS = {
    b"": CONFIGURATION,
    b"moved": MOVED_CONFIGURATION,
    b"scaled": SCALED_CONFIGURATION,
    b"east": EAST_CONFIGURATION,
}


def _read_configuration(row: Row) -> Configuration | None:
    return CONFIGURATIONS[row.value] if row.key.key == "configuration" else None


def _read_target(row: Row) -> WeightTarget | None:
    if row.key.key == "configuration" or row.key.key.startswith(EVACUATION):
        return None
    return WeightTarget(ModelName(row.key.key), int(row.value))


def _read_evacuation(row: Row) -> ZoneEvacuation | None:
    if not row.key.key.startswith(EVACUATION):
        return None
    return ZoneEvacuation(ZoneId(row.key.key.removeprefix(EVACUATION)), is_on=not row.removed)


def _read_instance(row: Row) -> InstanceInfo:
    fields = orjson.loads(row.value)
    return InstanceInfo(
        InstanceId(row.key.key),
        ServiceName(fields["service"]),
        Address(fields["address"]),
        ZoneId(fields["zone"]),
        fields["slots"],
        InstanceState(fields["state"]),
        {MODEL: fields["version"]},
        row.version,
        cold_left=fields.get("cold_left"),
    )


READERS = RowReaders(
    "operator",
    "instances",
    _read_configuration,
    _read_target,
    _read_instance,
    _read_evacuation,
)


EPOCH_SECONDS = 1_700_000_000.0
"""Time of day at which each test begins."""
USAGE_TERMS = UsageTerms(window_length=5.0, due_after=10.0)


class MachineClock(LoopClock):
    """The clock of one machine; its time of day may be offset from the test's clock.

    While the machine is suspended, no wait on it ends, but its monotonic time advances.

    Attributes:
        ahead: seconds by which its time of day is ahead of the true time.
        awake: set unless the machine is suspended.
        suspended_at: start of the suspension, in the test's time.
        suspended_seconds: total duration of earlier suspensions.
    """

    ahead = 0.0

    def __init__(self) -> None:
        self.awake = asyncio.Event()
        self.awake.set()
        self.suspended_at = 0.0
        self.suspended_seconds = 0.0

    def suspend(self) -> None:
        """Suspends the machine."""
        if self.awake.is_set():
            self.awake.clear()
            self.suspended_at = LoopClock.now(self)

    def wake(self) -> None:
        """Ends the suspension."""
        if not self.awake.is_set():
            self.suspended_seconds += LoopClock.now(self) - self.suspended_at
            self.awake.set()

    async def sleep(self, seconds: float) -> None:
        """Waits, and then until the machine is awake."""
        await super().sleep(seconds)
        await self.awake.wait()

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return int((EPOCH_SECONDS + self.now() + self.ahead) * 1000)


@dataclass(frozen=True, slots=True)
class Send:
    """A request that a daemon sent to an instance, whatever its outcome."""

    daemon: int
    instance: InstanceId
    zone: ZoneId
    at: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an instance started to run."""

    daemon: int
    instance: InstanceId
    target: bytes
    at: float


@dataclass(slots=True)
class EvacuationSpan:
    """An evacuation in the store."""

    zone: ZoneId
    began_at: float
    ended_at: float = float("inf")


class NotingServers:
    """The servers as reached by one daemon; records the requests sent."""

    def __init__(self, servers: ScriptedEngines, daemon: int, fleet: "PlatformFleet") -> None:
        self._servers = servers
        self._daemon = daemon
        self._fleet = fleet
        self._awake = fleet.clocks[daemon].awake
        self.is_connected = servers.is_connected

    async def report(self, instance, timeout):
        """Requests an engine's report; see the port."""
        report = await self._servers.report(instance, timeout)
        await self._awake.wait()
        return report

    async def probe(self, instance, timeout):
        """Checks whether an engine listens; see the port."""
        state = await self._servers.probe(instance, timeout)
        await self._awake.wait()
        return state

    async def order(self, instance, order, timeout):
        """Sends an order to an engine; see the port."""
        outcome = await self._servers.order(instance, order, timeout)
        await self._awake.wait()
        return outcome

    @asynccontextmanager
    async def send(self, instance, request):
        """Sends a request; see the port."""
        now = self._fleet.clock.now()
        self._fleet.sends.append(Send(self._daemon, instance.id, instance.zone, now))
        async with self._servers.send(instance, request) as answer:
            now = self._fleet.clock.now()
            self._fleet.arrivals.append(Arrival(self._daemon, instance.id, request.target, now))
            await self._awake.wait()
            yield answer


class PlatformFleet:
    """Gateways, engines and a store."""

    def __init__(
        self,
        gateways: int = 3,
        engines: int = 4,
        seed: int = 0,
        scorers: int = 0,
        relays: bool = False,
        scaling_mode: ScalingMode = ScalingMode.ANNOUNCE,
        cold: ColdTerms | None = None,
        zones: tuple[ZoneId, ...] = (),
        configuration: bytes = b"",
    ) -> None:
        """Starts a fleet.

        Args:
            zones: zones of the daemons and engines, assigned in turn; empty for no zones.
            configuration: name of the initial configuration.
            relays: whether daemons relay store calls for daemons that the store rejects.
            scaling_mode: whether the daemons replace lost servers.
            cold: limits for cold engines; None for no limits.
        """
        self.scaling_mode = scaling_mode
        self.cold = cold
        self.zones = zones
        self.gateway_zones: list[ZoneId] = []
        self.engine_zones: dict[InstanceId, ZoneId] = {}
        self.relays = relays
        self.clock = LoopClock()
        self._loop = asyncio.get_running_loop()
        self.store = MemoryStore(self.clock, random.Random(seed))
        self.engines = ScriptedEngines(self.clock, MODEL)
        self.clients: list[WatchedClient] = []
        self.gateways: list[Gateway] = []
        self.clocks: list[MachineClock] = []
        self.started_at: list[float] = []
        self.usage = ScriptedUsage(self.clock)
        self.scaling = ScriptedScaling(self.clock)
        self.sends: list[Send] = []
        self.arrivals: list[Arrival] = []
        self.crashed_at: dict[InstanceId, float] = {}
        self.restart_seconds = RESTART_SECONDS
        self._restarts: set[asyncio.Task] = set()
        self._addresses: dict[InstanceId, Address] = {}
        self.engines.when_crashed = self._record_crash
        self.evacuations: list[EvacuationSpan] = []
        self.put("operator", "configuration", configuration)
        for number in range(engines):
            self.add_engine(InstanceId(f"engine-{number}"))
        for number in range(scorers):
            self.add_scorer(InstanceId(f"scorer-{number}"))
        for number in range(gateways):
            self.add_gateway(f"daemon-{number}")
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operator or an engine would."""
        self.store.apply(Transaction(puts=((RowKey(table, "", key), value),)))

    def now(self) -> float:
        """Returns the test's time, even while its loop is not running."""
        return self._loop.time()

    def evacuate(self, zone: ZoneId) -> None:
        """Begins a zone's evacuation as the operator would."""
        if zone not in self.evacuated_zones():
            self.evacuations.append(EvacuationSpan(zone, self.clock.now()))
        self.put("operator", f"{EVACUATION}{zone}", b"{}")

    def end_evacuation(self, zone: ZoneId) -> None:
        """Ends a zone's evacuation as the operator would."""
        for span in self.evacuations:
            if span.zone == zone:
                span.ended_at = min(span.ended_at, self.clock.now())
        self.store.apply(Transaction(removals=(RowKey("operator", "", f"{EVACUATION}{zone}"),)))

    def evacuated_zones(self) -> list[ZoneId]:
        """Returns the zones that are evacuated according to the store."""
        return [span.zone for span in self.evacuations if span.ended_at == float("inf")]

    def zone_of(self, instance: InstanceId) -> ZoneId:
        """Returns an instance's zone, assigned on first use."""
        zones = self.zones or ZONES
        return self.engine_zones.setdefault(instance, zones[len(self.engine_zones) % len(zones)])

    def address_of(self, instance: InstanceId) -> Address:
        """Returns an instance's address, assigned on first use."""
        number = len(self._addresses) + 1
        return self._addresses.setdefault(instance, Address(f"10.0.0.{number}:1"))

    def _record_crash(self, instance: InstanceId) -> None:
        """Records an instance's crash by a request; another instance follows at its address."""
        self.crashed_at[instance] = self.clock.now()
        task = asyncio.create_task(self._restart(instance))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, instance: InstanceId) -> None:
        """Removes a crashed instance's entry, and starts its successor; either may come first."""
        entry_seconds = MISSED_HEARTBEATS * HEARTBEAT_SECONDS
        if self.restart_seconds < entry_seconds:
            await self.clock.sleep(self.restart_seconds)
            self._start_follower(instance)
            await self.clock.sleep(entry_seconds - self.restart_seconds)
            self._remove_entry(instance)
        else:
            await self.clock.sleep(entry_seconds)
            self._remove_entry(instance)
            await self.clock.sleep(self.restart_seconds - entry_seconds)
            self._start_follower(instance)

    def _remove_entry(self, instance: InstanceId) -> None:
        self.store.apply(Transaction(removals=(RowKey("instances", "", instance),)))

    def _start_follower(self, instance: InstanceId) -> None:
        """Starts and lists the instance that follows a crashed one at its address."""
        incarnation = int(instance.partition("+")[2] or "1") + 1
        follower = InstanceId(f"{instance.partition('+')[0]}+{incarnation}")
        self._addresses[follower] = self.address_of(instance)
        self.engine_zones[follower] = self.zone_of(instance)
        crashed = self.engines.engines[instance]
        if crashed.versions:
            self.engines.engines[follower] = ScriptedEngine(
                versions=dict(crashed.versions), event_seconds=crashed.event_seconds
            )
            self.add_engine(follower)
        else:
            self.add_scorer(follower)

    def add_engine(self, engine: InstanceId, state: InstanceState = InstanceState.READY) -> None:
        """Lists an engine."""
        if engine not in self.engines.engines:
            self.engines.engines[engine] = ScriptedEngine(versions={MODEL: 1})
        known = self.engines.engines[engine]
        entry = {
            "service": ENGINES,
            "zone": self.zone_of(engine),
            "slots": 8,
            "state": state,
            "version": known.versions[MODEL],
            "cold_left": max(0.0, known.cold_until - self.clock.now()),
            "address": self.address_of(engine),
        }
        self.put("instances", engine, orjson.dumps(entry))

    def start_cold_engine(
        self, engine: InstanceId, seconds: float = COLD_SECONDS
    ) -> ScriptedEngine:
        """Starts and lists an engine that is cold for some seconds."""
        state = ScriptedEngine(versions={MODEL: 1}, cold_until=self.clock.now() + seconds)
        self.engines.engines[engine] = state
        self.add_engine(engine)
        return state

    def turn_cold(self, engine: InstanceId, seconds: float, known_after: float) -> ScriptedEngine:
        """Makes an engine cold again, and updates its entry.

        Args:
            known_after: seconds after which requests are counted, as the change must propagate.
        """
        state = self.engines.engines[engine]
        state.cold_known_from = self.clock.now() + known_after
        state.cold_until = self.clock.now() + seconds
        self.add_engine(engine)
        return state

    def add_scorer(
        self,
        scorer: InstanceId,
        service: ServiceName = SCORERS,
        state: InstanceState = InstanceState.READY,
    ) -> None:
        """Lists a server that scores outputs."""
        if scorer not in self.engines.engines:
            self.engines.engines[scorer] = ScriptedEngine(slots=SCORER_SLOTS)
        entry = {
            "service": service,
            "zone": self.zone_of(scorer),
            "slots": SCORER_SLOTS,
            "state": state,
            "version": 0,
            "address": self.address_of(scorer),
        }
        self.put("instances", scorer, orjson.dumps(entry))

    def _zone(self, number: int) -> ZoneId:
        """Returns a daemon's zone."""
        return self.zones[number % len(self.zones)] if self.zones else ZoneId("z")

    def region_of_gateway(self, number: int) -> RegionId | None:
        """Returns a daemon's region; None if the fleet has no zones."""
        return REGIONS.get(self.gateway_zones[number])

    def scorers(self) -> list[ScriptedEngine]:
        """Returns the servers that score outputs."""
        return [state for state in self.engines.engines.values() if not state.versions]

    def answers_of_failure(self, request: str) -> int:
        """Returns how often servers responded to a request with their failure status."""
        return sum(state.failures[request] for state in self.engines.engines.values())

    def model_engines(self) -> list[ScriptedEngine]:
        """Returns the engines."""
        return [state for state in self.engines.engines.values() if state.versions]

    async def _send_heartbeats(self) -> None:
        """Rewrites the engines' entries when their versions have changed."""
        written = {name: 1 for name in self.engines.engines}
        while True:
            await self.clock.sleep(HEARTBEAT_SECONDS)
            for name, state in self.engines.engines.items():
                is_model = MODEL in state.versions
                if is_model and not state.down and state.versions[MODEL] != written.get(name):
                    written[name] = state.versions[MODEL]
                    self.add_engine(name)

    def add_gateway(self, name: str, zone: ZoneId | None = None) -> Gateway:
        """Starts a gateway, in the next zone in turn unless one is given."""
        self.gateway_zones.append(zone or self._zone(len(self.gateway_zones)))
        clock = MachineClock()
        client = WatchedClient(self.store, self.gateway_zones[-1], clock.awake)
        self.clocks.append(clock)
        self.started_at.append(self.now())
        log = EventLog(name)
        relay = None
        if self.relays:
            rng = random.Random(name)
            relay = RelayedStore(client, self._client_of, self.clock, log, rng)
        ports = GatewayPorts(
            relay or client,
            NotingServers(self.engines, len(self.gateways), self),
            clock,
            READERS,
            log,
            relay=relay,
            usage=self.usage,
            scaling=self.scaling,
            rng=random.Random(name),
        )
        settings = GatewaySettings(
            name,
            peer_address=Address(f"peer:{len(self.gateways)}"),
            scaling_mode=self.scaling_mode,
            usage=USAGE_TERMS,
            cold=self.cold,
            regions=RegionMap(self.gateway_zones[-1], REGIONS) if self.zones else RegionMap(),
        )
        gateway = Gateway(settings, ports)
        self.clients.append(client)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def _client_of(self, address: Address) -> StoreClient:
        """Returns the store as reached by the daemon at an address."""
        return self.clients[int(address.partition(":")[2])]

    def kill(self, number: int) -> None:
        """Kills a gateway."""
        gateway = self.gateways[number]
        gateway.stop()
        for owned in list(gateway.batch_manager._owned.values()):
            owned.stop()
        gateway.batch_manager._owned.clear()

    async def submit(self, spec: BatchSpec, number: int = 0) -> int:
        """Submits a batch to a gateway, and returns the number of the gateway that will run it."""
        await self.gateways[number].batches.submit(spec)
        head = self.gateways[number].batch_manager.head(spec.id) or await self.repository().head(
            spec.id
        )
        return next(i for i, gateway in enumerate(self.gateways) if gateway.id == head.owner)

    def other(self, number: int) -> Gateway:
        """Returns another gateway than the given one."""
        return self.gateways[(number + 1) % len(self.gateways)]

    async def wait(self, seconds: float) -> None:
        """Lets time pass."""
        await self.clock.sleep(seconds)

    async def read_all(self, gateway: Gateway, batch: str) -> list[Result]:
        """Reads a batch's results from the start until complete."""
        results: list[Result] = []
        for _ in range(600):
            page = await gateway.batches.read(BatchId(batch), len(results), 1.0)
            results.extend(page.results)
            if len(results) >= page.total:
                break
        return results

    def stored_results(self, batch: str) -> list[Result]:
        """Returns the results in the store, in order."""
        prefix = f"{batch}/"
        rows = [
            row
            for key, row in sorted(self.store.rows.items())
            if key.table == RESULT_TABLE and key.key.startswith(prefix)
        ]
        from larkpost.gateway.rollouts.codec import decode_result

        return [decode_result(row.value) for row in rows]

    def repository(self) -> BatchRepository:
        """Returns a new batch repository."""
        return BatchRepository(StoreClient(self.store), self.clock)


def make_batch(
    name: str = "batch",
    items: int = 12,
    minimum_version: int = 0,
    *,
    scored: bool = False,
    tenant: TenantName | None = None,
) -> BatchSpec:
    """Returns a batch of items in groups of four.

    Args:
        scored: whether each item has a reward call.
        tenant: tenant that owns the batch.
    """
    return BatchSpec(
        id=BatchId(name),
        host=HOST,
        path="/r/x",
        model=MODEL,
        step=1,
        minimum_version=minimum_version,
        desired_groups=items // 4,
        tenant=tenant,
        items=tuple(
            Item(
                ItemId(f"{name}-{number}"),
                f"/r/{number}",
                (),
                f"body {number}".encode(),
                100 + number,
                GroupId(f"g{number // 4}"),
                reward_call=make_reward_call(f"{name}-{number}") if scored else None,
            )
            for number in range(items)
        ),
    )


def make_reward_call(item: str) -> RewardCall:
    """Returns the reward call of an item."""
    return RewardCall(RewardCallId(f"score-{item}"), SCORER_HOST, f"/s/{item}", b"score it")


def expected_text(item: str) -> str:
    """Returns the complete output of an item."""
    return b"\n".join(expected_output(item)).decode()


def check_results(test, spec: BatchSpec, results: list[Result]) -> None:
    """Checks that each item is listed once, done, with its complete output."""
    test.assertEqual(
        sorted(item.id for item in spec.items), sorted(result.item for result in results)
    )
    for result in results:
        test.assertEqual(ResultState.DONE, result.state)
        test.assertEqual(expected_text(result.item), result.text)
