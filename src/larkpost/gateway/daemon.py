"""One daemon on the platform: its groups of parts, and its start and planned stop.

blackboard       what it believes of the world; feeds write them, everything else reads
feeds         the tables that it follows
placement     whether work may go to an instance, and which instance is best
fleet         which daemons are alive, and what the time is
quarantine    which requests crash servers; the way to servers for all others
proxy         client requests
rollouts      batches
duties        what one daemon at a time does
"""

import asyncio

from larkpost.common.tasks import TaskSet
from larkpost.common.telemetry import Telemetry
from larkpost.gateway.assembly.duties import Duties, DutyNeeds
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.assembly.loop_watch import LoopWatch
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.controllers.division import EngineDivision
from larkpost.gateway.controllers.feeds import Feeds, HeadListener
from larkpost.gateway.controllers.heartbeat import new_life
from larkpost.gateway.controllers.load_plan import LoadPlan
from larkpost.gateway.controllers.members import Membership
from larkpost.gateway.controllers.true_time import TrueTime
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Level
from larkpost.gateway.placement.cold_rule import POLL_SECONDS, ColdRule
from larkpost.gateway.placement.cold_senders import ColdSenders
from larkpost.gateway.placement.evacuation_rule import EvacuationRule
from larkpost.gateway.placement.region_rule import RegionRule
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.planned_stop import PlannedStop
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.balancer import Balancer, BalancerSources
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.parts import ForwarderParts
from larkpost.gateway.proxy.shares import ShareChooser
from larkpost.gateway.quarantine.guard import GuardedServers
from larkpost.gateway.quarantine.isolation import IsolationRule
from larkpost.gateway.quarantine.recorder import CrashRecorder
from larkpost.gateway.quarantine.repository import CrashRepository
from larkpost.gateway.quarantine.trials import Trials
from larkpost.gateway.quarantine.watch import CrashWatch
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.keeper import BatchKeeper
from larkpost.gateway.rollouts.repository import ITEM_TABLE, BatchRepository
from larkpost.gateway.rollouts.reward import MAX_CALLS_IN_FLIGHT
from larkpost.gateway.rollouts.service import BatchService
from larkpost.gateway.rollouts.view import ViewCache
from larkpost.gateway.usage.counter import UsageCounter

READINESS_INTERVAL_SECONDS = 0.05
BATCH_RETENTION_SLACK_SECONDS = 60.0


class Gateway:
    """One daemon."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self.id = new_life(settings.machine)
        self._ports = ports
        self._clock = ports.clock
        self._log = ports.log
        self._tasks = TaskSet(ports.clock, Telemetry(settings.machine, log=False))
        self._loop_watch = LoopWatch(ports.clock, ports.log)
        self.lifecycle = Lifecycle()
        self._make_blackboard()
        self._make_placement()
        self._make_fleet()
        self._make_quarantine()
        counter = self._make_counter()
        self._make_proxy(counter)
        self._make_rollouts()
        self._duties = Duties(
            settings,
            ports,
            DutyNeeds(
                self.blackboard,
                self._load_plan,
                self.membership,
                self.balancer,
                self.keeper,
                self._feeds,
                self.true_time,
                counter,
            ),
        )

    def _make_blackboard(self) -> None:
        self.blackboard = Blackboard(self.settings.regions)
        self.configuration = self.blackboard.configuration
        self.directory = self.blackboard.directory
        self.targets = self.blackboard.targets
        heads = HeadListener(lambda row: self.keeper.take_head(row), self._is_active)
        self._feeds = Feeds(
            self.settings,
            self._ports,
            self.blackboard,
            heads,
            lambda row: self._crash_recorder.take_row(row),
        )

    def _make_placement(self) -> None:
        ports = self._ports
        self._cold_senders = ColdSenders(self.id, ports.clock)
        self.cold = ColdRule(
            self.settings.cold, self.blackboard, ports.clock, ports.log, self._cold_senders
        )
        self._isolation = IsolationRule()
        # Rules that count sends come last, so that they count none that another forbids.
        rules = (
            EvacuationRule(self.blackboard.evacuations),
            RegionRule(self.blackboard.regions),
            self._isolation,
            self.cold,
        )
        self.balancer = Balancer(
            self.directory,
            ports.clock,
            ports.chance,
            BalancerSources(
                ports.servers.is_connected,
                Placement(self.directory, rules, ports.metrics, self.cold.send_within),
                self.cold,
                self.blackboard.regions,
            ),
        )

    def _make_fleet(self) -> None:
        ports = self._ports
        self.true_time = TrueTime(
            ports.clock, ports.store.time, lambda: self.membership.clock_offsets()
        )
        self.membership = Membership(
            self.id,
            ports.store,
            ports.clock,
            self.balancer.summary,
            self.balancer.record_peer_summary,
            ports.log,
            lambda: self.keeper.is_owner(),
            self.settings.peer_address,
            self.true_time.own_offset,
            self.blackboard.regions,
        )

    def _make_quarantine(self) -> None:
        ports = self._ports
        self._crash_recorder = CrashRecorder(
            self.blackboard.crashes,
            CrashRepository(ports.store),
            ports.clock,
            ports.log,
            ports.metrics,
            lambda: self.membership.first_choice("crashes") == self.id,
        )
        watch = CrashWatch(
            self.directory,
            ports.servers,
            ports.clock,
            self._tasks,
            self._crash_recorder.record_crash,
        )
        self._servers = GuardedServers(
            ports.servers, self.blackboard.crashes, watch, self._crash_recorder, self._isolation
        )

    def _make_counter(self) -> UsageCounter | None:
        if self._ports.usage is None or self.settings.usage is None:
            return None
        return UsageCounter(self.true_time, self.settings.usage.window_length)

    def _make_proxy(self, counter: UsageCounter | None) -> None:
        ports = self._ports
        self.forwarder = Forwarder(
            ForwarderParts(
                self.directory,
                self.balancer,
                self._servers,
                ports.clock,
                ports.log,
                ports.metrics,
                ShareChooser(ports.chance),
                counter,
                self._priority_of,
                self.blackboard.crashes,
                Trials(
                    self.blackboard.crashes, CrashRepository(ports.store), ports.clock, ports.log
                ),
            )
        )
        self.admission = Admission(
            self.configuration,
            self._feeds.operator_age,
            lambda: self.settings.apply_time,
            ports.log,
            ports.metrics,
        )

    def _make_rollouts(self) -> None:
        ports = self._ports
        self._load_plan = LoadPlan(self.blackboard, lambda: self.keeper.demands())
        services = RunServices(
            self.configuration,
            self.directory,
            self.balancer,
            self._servers,
            ports.clock,
            ports.log,
            ports.metrics,
            ShareChooser(ports.chance),
            ports.store.time,
            asyncio.Semaphore(MAX_CALLS_IN_FLIGHT),
            self._make_division(),
            self.cold,
            self.blackboard.crashes,
        )
        repository = BatchRepository(ports.store, ports.clock)
        views = ViewCache()
        self.keeper = BatchKeeper(
            repository,
            self.membership,
            services,
            views,
            lambda: self.settings.batch_lifetime + BATCH_RETENTION_SLACK_SECONDS,
        )
        self.batches = BatchService(self.id, repository, self.keeper, views, services)
        self._cold_senders.follow(self.keeper.open_owners, self.membership, self._feeds.heads)

    def _make_division(self) -> EngineDivision:
        return EngineDivision(
            self.blackboard,
            self._load_plan,
            self._clock,
            lambda: self.keeper.demands(),
        )

    def start(self) -> None:
        """Starts all background work."""
        self._log.record(Event.START, id=self.id)
        self._feeds.start(self._tasks)
        self._crash_recorder.start(self._tasks)
        if self._ports.relay is not None:
            self._ports.relay.start(self.membership.peers, self._tasks, self._is_confined)
        self.membership.start(self._tasks)
        self.keeper.start(self._tasks)
        self._duties.start(self._tasks)
        if self.settings.cold is not None:
            self._tasks.every(POLL_SECONDS, self.cold.poll, "cold")
        self._tasks.spawn(self._become_ready(), "readiness")
        self._loop_watch.start(self._tasks)

    async def drain(self) -> None:
        """Stops as planned: hands its work over and waits for the answers under way."""
        steps = (("leave", self.membership.leave), ("hand_over", self.keeper.hand_over))
        stop = PlannedStop(
            self.lifecycle,
            self._clock,
            self._log,
            steps,
            self._duties.save_last,
            lambda: self.settings.grace_time,
        )
        await stop.run()

    def stop(self) -> None:
        """Ends all background work."""
        self._tasks.cancel_all()

    def read_metrics(self) -> bytes:
        """Returns all metrics as text, the gauges as of now."""
        metrics = self._ports.metrics
        self._set_blackboard()
        metrics.set(Level.MEMBERS, len(list(self.membership.alive())))
        metrics.set(Level.COORDINATOR, int(self.membership.is_coordinator()))
        metrics.set(Level.OPEN_REQUESTS, self.lifecycle.open_requests)
        metrics.set(Level.READY, int(self.lifecycle.ready))
        owned = self.keeper.owned()
        metrics.set(Level.BATCHES_OWNED, len(owned))
        metrics.set(Level.ITEMS_RUNNING, sum(batch.running for batch in owned))
        metrics.set(Level.REWARDS_WAITING, sum(batch.unscored for batch in owned))
        metrics.set(Level.RESULTS_WAITING, sum(batch.waiting for batch in owned))
        metrics.set(Level.LOOP_LAG, self._loop_watch.take_largest())
        relay = self._ports.relay
        metrics.set(Level.STORE_RELAYED, int(relay is not None and relay.is_relayed))
        return metrics.text()

    def _set_blackboard(self) -> None:
        """Sets the gauges of what this daemon believes."""
        metrics = self._ports.metrics
        current = self.configuration.current
        metrics.set(Level.CONFIGURATION_VERSION, current.version if current is not None else 0)
        for name, age in self._feeds.ages().items():
            metrics.set(Level.FEED_AGE, age, name)
        for state, count in self.directory.counts().items():
            metrics.set(Level.INSTANCES, count, state)
        metrics.set(Level.INSTANCES_COLD, self.cold.count_cold())
        metrics.set(Level.QUARANTINED, self.blackboard.crashes.held())
        metrics.set(Level.CRASHES_KNOWN, len(self.blackboard.crashes))
        zones = self.blackboard.evacuations.zones()
        metrics.replace(Level.EVACUATED, dict.fromkeys(zones, 1))
        in_zones = {zone: self.balancer.outstanding_in(zone) for zone in zones}
        metrics.replace(Level.EVACUATED_REQUESTS, in_zones)

    async def _become_ready(self) -> None:
        """Waits until enough is known to take clients."""
        while self.configuration.current is None or not self._feeds.instances.listed:
            await self._clock.sleep(READINESS_INTERVAL_SECONDS)
        self.lifecycle.informed = True
        self._log.record(Event.READY, instances=len(self.directory))

    def _priority_of(self, tenant: TenantName | None, route: Route) -> int:
        """Returns how urgent a client's request is by the configuration in force."""
        current = self.configuration.current
        return current.priority_of(tenant, route) if current is not None else route.priority

    def _is_confined(self, table: str) -> bool:
        """Tells whether rows of a table hold bodies that may be bound to this daemon's region."""
        current = self.configuration.current
        return table == ITEM_TABLE and current is not None and current.has_homes

    def _is_active(self) -> bool:
        """Tells whether this daemon has to act on news of batches at once."""
        return self.membership.is_coordinator() or bool(self.keeper.owned())
