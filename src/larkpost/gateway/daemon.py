"""Builds one daemon of the platform from its components, and starts and stops it.

blackboard            view of the cluster; written by controllers, read by everything else
memory                budget for buffered bytes
placement             whether work may go to an instance, and which instance is best
membership            live daemons and the current time
quarantine            detection of requests that crash servers, and guarded access to servers
proxy                 client requests
rollouts              batches
feeds                 tables that the daemon follows
leased controllers    duties that only one daemon performs at a time
"""

import asyncio

from larkpost.common.ids import DaemonId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.assembly.balancing import make_balancing
from larkpost.gateway.assembly.client_requests import make_forwarder
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.assembly.gauges import Gauges
from larkpost.gateway.assembly.leased_controllers import ControllerInputs, LeasedControllers
from larkpost.gateway.assembly.loop_monitor import EventLoopMonitor
from larkpost.gateway.assembly.membership import MembershipInputs, make_membership
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.controllers.feeds import BatchListener, Feeds, FeedSource
from larkpost.gateway.controllers.fleet_clock import FleetClock
from larkpost.gateway.controllers.heartbeat import new_incarnation
from larkpost.gateway.controllers.lending_log import LendingLog
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.graceful_shutdown import GracefulShutdown, ShutdownSteps
from larkpost.gateway.memory.daemon_memory import DaemonMemory
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.failure_log import FailureLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.placement.cold_rate_limit import POLL_SECONDS
from larkpost.gateway.proxy.admission import Admission
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.quarantine.crash_detector import CrashDetector
from larkpost.gateway.quarantine.crash_recorder import CrashRecorder
from larkpost.gateway.quarantine.crash_writer import CrashWriter
from larkpost.gateway.quarantine.repository import CrashRepository
from larkpost.gateway.quarantine.server_port import QuarantineServerPort
from larkpost.gateway.quarantine.trial_claims import TrialClaims
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.rollouts.reward_caller import MAX_CALLS_IN_FLIGHT
from larkpost.gateway.rollouts.service import BatchService
from larkpost.gateway.rollouts.view import ViewCache
from larkpost.gateway.store.batch_tables import ITEM_TABLE
from larkpost.gateway.usage.counter import UsageCounter

READINESS_INTERVAL_SECONDS = 0.05
"""Interval between two checks for whether the daemon is ready for clients."""


class Gateway:
    """One daemon.

    Components are created in the order of their dependencies. Three cycles are closed by callbacks
    that are called only after construction:

    - Membership reports the balancer's data, and the balancer needs the live daemons
      (`_alive_daemons`).
    - The batch manager needs membership and the engine allocator, which need its batches and their
      demand.
    - The sender tracker needs the owners of batches, whose items are placed by the cold rate limit,
      which needs the sender tracker (`SenderTracker.set_sources`).
    """

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self.id = new_incarnation(settings.machine)
        self._ports = ports
        self._clock = ports.clock
        self._log = ports.log
        self._instruments = Instruments(ports.clock, ports.log, ports.metrics)
        self._tasks = TaskSet(ports.clock, FailureLog(ports.log))
        self._event_loop_monitor = EventLoopMonitor(ports.clock, ports.log)
        self.lifecycle = Lifecycle()
        self.blackboard = Blackboard(settings.regions)
        self.configuration = self.blackboard.configuration
        self.directory = self.blackboard.directory
        self.memory = DaemonMemory(settings.byte_budget, self._instruments, ports.rng)
        self._make_placement()
        self._make_membership()
        self._make_quarantine()
        self._make_forwarder()
        self._make_rollouts()
        self._make_feeds()
        self._make_admission()
        self._make_leased_controllers()
        self._make_gauges()

    def _make_placement(self) -> None:
        parts = make_balancing(
            self.id, self.settings, self.blackboard, self._ports, self._alive_daemons
        )
        self._sender_tracker, self._isolation_rule = parts.sender_tracker, parts.isolation
        self.cold_rate_limit, self.balancer = parts.cold_rate_limit, parts.balancer

    def _make_membership(self) -> None:
        ports = self._ports
        self._ledger = FlowLedger(self._clock)
        self.membership = make_membership(
            MembershipInputs(
                self.id,
                self.settings,
                ports,
                self._instruments,
                self.blackboard.regions,
                self.balancer,
                self._ledger,
                lambda: self.batch_manager,
                self._event_loop_monitor,
            )
        )
        self.fleet_clock = FleetClock(self._clock, ports.store.time, self.membership.clock_offsets)

    def _make_quarantine(self) -> None:
        ports = self._ports
        self._crash_recorder = CrashRecorder(
            self.blackboard.crashes,
            CrashWriter(CrashRepository(ports.store), ports.clock),
            ports.log,
            ports.metrics,
            self._removes_expired_crashes,
        )
        record_crash = self._crash_recorder.record_crash
        detector = CrashDetector(
            self.directory, ports.servers, ports.clock, self._tasks, record_crash
        )
        self._servers = QuarantineServerPort(
            ports.servers,
            self.blackboard.crashes,
            detector,
            self._crash_recorder,
            self._isolation_rule,
            ports.clock,
        )
        self._trials = TrialClaims(
            self.blackboard.crashes, CrashRepository(ports.store), ports.clock, ports.log
        )

    def _make_forwarder(self) -> None:
        ports = self._ports
        self._usage_counter: UsageCounter | None = None
        if ports.usage is not None and self.settings.usage is not None:
            self._usage_counter = UsageCounter(self.fleet_clock, self.settings.usage.window_length)
        self.forwarder = make_forwarder(
            ports,
            self.blackboard,
            self.balancer,
            self._servers,
            self._ledger,
            self._usage_counter,
            self._trials,
        )

    def _make_rollouts(self) -> None:
        ports = self._ports
        self._engine_allocator = EngineAllocator(
            self.blackboard,
            ports.clock,
            lambda: self.batch_manager.demands(),
            LendingLog(ports.log, ports.clock),
            self.balancer.service_times.long_term,
        )
        services = RunServices(
            self.configuration,
            self.directory,
            self.balancer,
            self._servers,
            ports.clock,
            ports.log,
            ports.metrics,
            ServiceSelector(ports.rng),
            ports.store.time,
            ports.store.time_error,
            asyncio.Semaphore(MAX_CALLS_IN_FLIGHT),
            self._engine_allocator,
            self.cold_rate_limit,
        )
        repository = BatchRepository(ports.store, ports.clock)
        views = ViewCache(self.memory.budget)
        self.batch_manager = BatchManager(
            repository, self.membership, services, views, self._batch_lifetime
        )
        self.batches = BatchService(self.id, repository, self.batch_manager, views, services)

    def _make_feeds(self) -> None:
        ports = self._ports
        self._feeds = Feeds(
            FeedSource(ports.store, ports.readers, self._contact_time),
            self.blackboard,
            self._instruments,
            BatchListener(
                self.batch_manager.record_head, self._crash_recorder.record_row, self._is_active
            ),
        )
        self._sender_tracker.set_sources(
            self.batch_manager.open_owners, self.membership, self._feeds.heads
        )

    def _make_admission(self) -> None:
        ports = self._ports
        self.admission = Admission(
            self.configuration, self._feeds.operator_age, self._apply_time, ports.log, ports.metrics
        )

    def _make_leased_controllers(self) -> None:
        self.leased_controllers = LeasedControllers(
            self.settings,
            self._ports,
            ControllerInputs(
                self.blackboard,
                self._engine_allocator,
                self.membership,
                self.balancer,
                self.batch_manager,
                self._feeds,
                self.fleet_clock,
                self._usage_counter,
            ),
        )

    def _make_gauges(self) -> None:
        self._gauges = Gauges(
            self._ports.metrics,
            self.lifecycle,
            self.blackboard,
            self._feeds,
            self.membership,
            self.balancer,
            self.cold_rate_limit,
            self.batch_manager,
            self._event_loop_monitor,
            self._ports.relay,
            self.memory,
        )

    def start(self) -> None:
        """Starts all background tasks."""
        self._log.record(Event.START, id=self.id)
        self._feeds.start(self._tasks)
        self._crash_recorder.start(self._tasks)
        if self._ports.relay is not None:
            self._ports.relay.start(self.membership.peers, self._tasks, self._is_region_bound)
        self.membership.start(self._tasks)
        self.batch_manager.start(self._tasks)
        self.leased_controllers.start(self._tasks)
        if self.settings.cold is not None:
            self._tasks.every(POLL_SECONDS, self.cold_rate_limit.poll, "cold")
        self._tasks.spawn(self._become_ready(), "readiness")
        self._event_loop_monitor.start(self._tasks)

    async def drain(self) -> None:
        """Shuts down gracefully: hands over batches and waits for open responses."""
        steps = ShutdownSteps(
            immediate_steps=(
                ("leave", self.membership.leave),
                ("hand_over", self.batch_manager.hand_over),
            ),
            final_step=self.leased_controllers.save_final,
        )
        stop = GracefulShutdown(self.lifecycle, self._instruments, steps, self.settings.grace_time)
        await stop.run()

    def stop(self) -> None:
        """Cancels all background tasks."""
        self._tasks.cancel_all()

    def read_metrics(self) -> bytes:
        """Returns all metrics as text, with current gauges."""
        self._gauges.update()
        return self._ports.metrics.text()

    async def _become_ready(self) -> None:
        """Waits for a configuration and the list of instances, then becomes ready."""
        while self.configuration.current is None or not self._feeds.instances.listed:
            await self._clock.sleep(READINESS_INTERVAL_SECONDS)
        self.lifecycle.informed = True
        self._log.record(Event.READY, instances=len(self.directory))

    def _is_region_bound(self, table: str) -> bool:
        """Returns whether a table's rows may hold bodies that must stay in this daemon's region."""
        current = self.configuration.current
        return table == ITEM_TABLE and current is not None and current.has_region_limits

    def _is_active(self) -> bool:
        """Returns whether this daemon must react to batch changes immediately."""
        return self.membership.is_coordinator() or bool(self.batch_manager.owned())

    def _alive_daemons(self) -> frozenset[DaemonId]:
        """Returns the live daemons."""
        return self.membership.alive()

    def _removes_expired_crashes(self) -> bool:
        """Returns whether this daemon is chosen to remove expired crashes from the store."""
        return self.membership.choose_coordinator("crashes") == self.id

    # Settings may change at run time, so they are read at each use; durations in seconds.

    def _contact_time(self) -> float:
        return self.settings.contact_time

    def _apply_time(self) -> float:
        return self.settings.apply_time

    def _batch_lifetime(self) -> float:
        return self.settings.batch_lifetime
