"""One daemon on the platform: all its parts, wired together, and its planned stop."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.clock import Clock
from larkpost.eventlog import Event, EventLog
from larkpost.fleet.beliefs import Beliefs
from larkpost.fleet.cold import ColdTerms
from larkpost.fleet.configuration import Route
from larkpost.fleet.division import EngineDivision
from larkpost.fleet.heartbeat import new_life
from larkpost.fleet.leases import LeaseTable
from larkpost.fleet.lifecycle import Lifecycle
from larkpost.fleet.loader import WeightLoader
from larkpost.fleet.members import Membership
from larkpost.fleet.regions import RegionMap
from larkpost.fleet.row_intake import RowIntake, RowReaders
from larkpost.fleet.tenants import TenantName
from larkpost.fleet.true_time import TrueTime
from larkpost.ids import Address
from larkpost.metrics import Level, Metrics
from larkpost.placement.cold import LOOK_SECONDS, ColdRule
from larkpost.placement.cold_senders import ColdSenders
from larkpost.placement.evacuated import EvacuatedRule
from larkpost.placement.homes import HomeRule
from larkpost.placement.rules import Placement, PlacementRule
from larkpost.planned_stop import PlannedStop
from larkpost.policy import DEFAULT_POLICY, Policy
from larkpost.proxy.admission import Admission
from larkpost.proxy.balancer import Balancer
from larkpost.proxy.forwarder import Forwarder
from larkpost.proxy.port import ServerPort
from larkpost.proxy.shares import ShareChooser
from larkpost.rollouts.context import RunServices
from larkpost.rollouts.keeper import BatchKeeper
from larkpost.rollouts.repository import HEAD_TABLE, ITEM_TABLE, PARTS, BatchRepository
from larkpost.rollouts.reward import MAX_CALLS_IN_FLIGHT
from larkpost.rollouts.service import BatchService
from larkpost.rollouts.view import ViewCache
from larkpost.scaling.controller import ScalingController, ScalingMode
from larkpost.scaling.demand import DemandForecast
from larkpost.scaling.port import ScalingPort
from larkpost.store.follower import TableFollower
from larkpost.store.port import Row, Store
from larkpost.store.relay import RelayedStore
from larkpost.tasks import TaskSet
from larkpost.telemetry import Telemetry
from larkpost.usage.counter import UsageCounter
from larkpost.usage.port import UsagePort, UsageTerms
from larkpost.usage.reporter import UsageReporter
from larkpost.usage.repository import UsageRepository

FAST_RELIST_SECONDS = 1.5
SLOW_RELIST_SECONDS = 3.0
IDLE_RELIST_FACTOR = 4
"""How much less often a daemon lists the batches that neither coordinates nor owns any."""
READINESS_INTERVAL_SECONDS = 0.05
LOOP_INTERVAL_SECONDS = 0.5
LAPSED_INTERVAL_SECONDS = 0.25
LATE_LOOP_SECONDS = 0.5
"""A delay of the event loop that is worth a line."""
BATCH_RETENTION_SLACK_SECONDS = 60.0


@dataclass(slots=True)
class GatewaySettings:
    """What a daemon needs to know of its surroundings; durations in seconds.

    Attributes:
        machine: name of the machine, for logs.
        contact_time: time without a fault after which the store's news are believed.
        lease_time: time after a holder's last order before another holder may order.
        apply_time: time within which a new configuration is to be in force everywhere.
        grace_time: time between the request to stop and the kill.
        batch_lifetime: time for which a batch must be readable.
        peer_address: where it makes calls to the store for other daemons, or None.
        policy: how it decides.
        usage: what is agreed about usage reports; None if there are none.
        regions: where the deployment's zones lie, seen from this daemon's.
        cold: what is agreed about cold instances; None if they have no limits.
    """

    machine: str
    contact_time: float = 3.0
    lease_time: float = 3.0
    apply_time: float = 2.0
    grace_time: float = 8.0
    batch_lifetime: float = 120.0
    peer_address: Address | None = None
    policy: Policy = DEFAULT_POLICY
    usage: UsageTerms | None = None
    regions: RegionMap = field(default_factory=RegionMap)
    cold: ColdTerms | None = None


@dataclass(slots=True)
class GatewayPorts:
    """Everything outside the daemon.

    Attributes:
        relay: the store itself, if it can be reached by way of peers.
        usage: takes usage reports; None if nobody does.
        scaling: takes orders of servers; None if nobody does.
    """

    store: Store
    servers: ServerPort
    clock: Clock
    readers: RowReaders
    log: EventLog
    metrics: Metrics = field(default_factory=Metrics)
    relay: RelayedStore | None = None
    usage: UsagePort | None = None
    scaling: ScalingPort | None = None
    chance: random.Random = field(default_factory=random.Random)


class Gateway:
    """One daemon."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self._ports = ports
        self._clock = ports.clock
        self._log = ports.log
        own = new_life(settings.machine)
        self.id = own
        self.beliefs = Beliefs(settings.regions)
        self.configuration = self.beliefs.configuration
        self.directory = self.beliefs.directory
        self.targets = self.beliefs.targets
        self.lifecycle = Lifecycle()
        self.true_time = TrueTime(
            ports.clock, ports.store.time, lambda: self.membership.clock_offsets()
        )
        senders = ColdSenders(own, ports.clock)
        self.cold = ColdRule(settings.cold, self.beliefs, ports.clock, ports.log, senders)
        self.balancer = Balancer(
            self.directory,
            ports.clock,
            ports.chance,
            settings.policy,
            ports.servers.is_connected,
            Placement(
                self.directory, self._placement_rules(), ports.metrics, self.cold.send_within
            ),
            self.cold,
            self.beliefs.regions,
        )
        self.membership = Membership(
            own,
            ports.store,
            ports.clock,
            self.balancer.summary,
            self.balancer.take_summary,
            ports.log,
            lambda: self.keeper.is_owner(),
            settings.peer_address,
            settings.policy,
            self.true_time.own_offset,
            self.beliefs.regions,
        )
        leases = LeaseTable(own, ports.store, ports.clock, settings.lease_time)
        counter = None
        self._usage: UsageReporter | None = None
        if ports.usage is not None and settings.usage is not None:
            counter = UsageCounter(self.true_time, settings.usage.window_length)
            self._usage = UsageReporter(
                UsageRepository(ports.store),
                counter,
                self.true_time,
                leases,
                self.membership,
                ports.usage,
                ports.clock,
                ports.log,
                ports.metrics,
                settings.usage,
                self._store_sound_for,
            )
        self.forwarder = Forwarder(
            self.directory,
            self.balancer,
            ports.servers,
            ports.clock,
            ports.log,
            ports.metrics,
            ShareChooser(ports.chance),
            settings.policy,
            counter,
            self._priority_of,
        )
        services = RunServices(
            self.configuration,
            self.directory,
            self.balancer,
            ports.servers,
            ports.clock,
            ports.log,
            ports.metrics,
            ShareChooser(ports.chance),
            ports.store.time,
            asyncio.Semaphore(MAX_CALLS_IN_FLIGHT),
            EngineDivision(
                self.configuration,
                self.directory,
                self.targets,
                ports.clock,
                lambda: self.keeper.demands(),
                settings.policy,
                self.beliefs.evacuations,
            ),
            settings.policy,
            self.cold,
        )
        repository = BatchRepository(ports.store, ports.clock)
        views = ViewCache()
        self.keeper = BatchKeeper(
            repository,
            self.membership,
            services,
            views,
            lambda: settings.batch_lifetime + BATCH_RETENTION_SLACK_SECONDS,
        )
        self.batches = BatchService(own, repository, self.keeper, views, services)
        self._loader = WeightLoader(
            self.configuration,
            self.directory,
            self.targets,
            self.membership,
            leases,
            ports.servers,
            ports.clock,
            ports.log,
            ports.metrics,
            self.keeper.demands,
            settings.policy,
            self.beliefs.evacuations,
        )
        self._scaling = self._make_scaling(ports.scaling, leases) if ports.scaling else None
        readers = ports.readers
        intake = RowIntake(
            readers,
            self.beliefs,
            ports.clock,
            ports.log,
            self._store_sound_for,
            lambda: settings.contact_time if settings.policy.lapsed_serve else 0.0,
            lambda: self._instance_rows.listed,
        )
        self._intake = intake
        self._operator_rows = self._follower(
            readers.operator_table, ("",), intake.take_operator_row, SLOW_RELIST_SECONDS
        )
        self._instance_rows = self._follower(
            readers.instance_table, ("",), intake.take_instance_row, FAST_RELIST_SECONDS
        )
        self._head_rows = self._follower(
            HEAD_TABLE,
            PARTS,
            self.keeper.take_head,
            SLOW_RELIST_SECONDS,
            idle_factor=lambda: 1 if self._is_active() else IDLE_RELIST_FACTOR,
        )
        senders.follow(self.keeper.open_owners, self.membership, self._head_rows)
        self.admission = Admission(
            self.configuration,
            lambda: self._operator_rows.age(self._clock.now()),
            lambda: settings.apply_time,
            ports.log,
            ports.metrics,
        )
        self._loop_lag = 0.0
        self._tasks = TaskSet(ports.clock, Telemetry(settings.machine, log=False))

    def _make_scaling(self, port: ScalingPort, leases: LeaseTable) -> ScalingController:
        ports = self._ports
        demand = DemandForecast(self.directory, self.keeper.demands, self.balancer.pace)
        replaces = self.settings.policy.replace_servers
        return ScalingController(
            self.beliefs,
            self.membership,
            leases,
            port,
            ports.clock,
            ports.log,
            ports.metrics,
            demand,
            self._store_sound_for,
            ScalingMode.REPLACE if replaces else ScalingMode.ANNOUNCE,
        )

    def start(self) -> None:
        """Starts all background work."""
        self._log.note(Event.START, id=self.id)
        for follower in self._followers().values():
            follower.start(self._tasks)
        if self._ports.relay is not None and self.settings.policy.peer_calls:
            self._ports.relay.start(self.membership.peers, self._tasks, self._is_confined)
        self.membership.start(self._tasks)
        self.keeper.start(self._tasks)
        self._loader.start(self._tasks)
        if self._usage is not None:
            self._usage.start(self._tasks)
        if self._scaling is not None:
            self._scaling.start(self._tasks)
        if self.settings.cold is not None:
            self._tasks.every(LOOK_SECONDS, self.cold.look, "cold")
        self._tasks.every(LAPSED_INTERVAL_SECONDS, self._intake.drop_lapsed, "lapsed")
        self._tasks.spawn(self._become_ready(), "readiness")
        self._tasks.spawn(self._watch_loop(), "loop")

    async def drain(self) -> None:
        """Stops as planned: hands its work over and waits for the answers under way."""
        steps = (("leave", self.membership.leave), ("hand_over", self.keeper.hand_over))
        stop = PlannedStop(
            self.lifecycle,
            self._clock,
            self._log,
            steps,
            self._usage.save_last if self._usage is not None else None,
            lambda: self.settings.grace_time,
        )
        await stop.run()

    def stop(self) -> None:
        """Ends all background work."""
        self._tasks.cancel_all()

    def _priority_of(self, tenant: TenantName | None, route: Route) -> int:
        """Returns how urgent a client's request is by the configuration in force."""
        current = self.configuration.current
        return current.priority_of(tenant, route) if current is not None else route.priority

    def _placement_rules(self) -> tuple[PlacementRule, ...]:
        """Returns the rules of placement; those that count sends come last."""
        return (
            EvacuatedRule(self.beliefs.evacuations),
            HomeRule(self.beliefs.regions),
            self.cold,
        )

    def _is_confined(self, table: str) -> bool:
        """Tells whether rows of a table hold bodies that may be bound to this daemon's region."""
        current = self.configuration.current
        return table == ITEM_TABLE and current is not None and current.has_homes

    def _follower(
        self,
        table: str,
        parts: tuple[str, ...],
        listener: Callable[[Row], None],
        relist_interval: float,
        idle_factor: Callable[[], int] = lambda: 1,
    ) -> TableFollower:
        return TableFollower(
            self._ports.store,
            self._clock,
            table,
            parts,
            listener,
            self._log,
            relist_interval=relist_interval,
            idle_factor=idle_factor,
        )

    def read_metrics(self) -> bytes:
        """Returns all metrics as text, the gauges as of now."""
        now = self._clock.now()
        metrics = self._ports.metrics
        current = self.configuration.current
        metrics.set(Level.CONFIGURATION_VERSION, current.version if current is not None else 0)
        for name, follower in self._followers().items():
            metrics.set(Level.FEED_AGE, follower.age(now), name)
        for state, count in self.directory.counts().items():
            metrics.set(Level.INSTANCES, count, state)
        metrics.set(Level.INSTANCES_COLD, self.cold.count_cold())
        metrics.set(Level.MEMBERS, len(list(self.membership.alive())))
        metrics.set(Level.OPEN_REQUESTS, self.lifecycle.open_requests)
        owned = self.keeper.owned()
        metrics.set(Level.BATCHES_OWNED, len(owned))
        metrics.set(Level.ITEMS_RUNNING, sum(batch.running for batch in owned))
        metrics.set(Level.REWARDS_WAITING, sum(batch.unscored for batch in owned))
        metrics.set(Level.RESULTS_WAITING, sum(batch.waiting for batch in owned))
        metrics.set(Level.LOOP_LAG, self._loop_lag)
        metrics.set(Level.READY, int(self.lifecycle.ready))
        relay = self._ports.relay
        metrics.set(Level.STORE_RELAYED, int(relay is not None and relay.is_relayed))
        metrics.set(Level.COORDINATOR, int(self.membership.is_coordinator()))
        zones = self.beliefs.evacuations.zones()
        metrics.replace(Level.EVACUATED, dict.fromkeys(zones, 1))
        in_zones = {zone: self.balancer.outstanding_in(zone) for zone in zones}
        metrics.replace(Level.EVACUATED_REQUESTS, in_zones)
        self._loop_lag = 0.0
        return metrics.text()

    def _followers(self) -> dict[str, TableFollower]:
        return {
            "operator": self._operator_rows,
            "instances": self._instance_rows,
            "batches": self._head_rows,
        }

    async def _watch_loop(self) -> None:
        """Measures how late the event loop is; a long delay means a freeze or a busy machine."""
        while True:
            started = self._clock.now()
            await self._clock.sleep(LOOP_INTERVAL_SECONDS)
            lag = self._clock.now() - started - LOOP_INTERVAL_SECONDS
            self._loop_lag = max(self._loop_lag, lag)
            if lag > LATE_LOOP_SECONDS:
                self._log.note(Event.LOOP_LATE, seconds=round(lag, 3))

    async def _become_ready(self) -> None:
        """Waits until enough is known to take clients."""
        while self.configuration.current is None or not self._instance_rows.listed:
            await self._clock.sleep(READINESS_INTERVAL_SECONDS)
        self.lifecycle.informed = True
        self._log.note(Event.READY, instances=len(self.directory))

    def _store_sound_for(self) -> float:
        """Returns for how many seconds each call to the store was answered."""
        return self._instance_rows.sound_for(self._clock.now())

    def _is_active(self) -> bool:
        """Tells whether this daemon has to act on news of batches at once."""
        return self.membership.is_coordinator() or bool(self.keeper.owned())
