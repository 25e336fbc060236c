"""Assembles one daemon from its ports: blackboard, controllers, data path and services.

The same class runs in a process of its own (`larkpost.standalone.server`) and in tests with
simulated ports and time.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.standalone.activity import Activity
from larkpost.standalone.batches.ledger import BatchLedger, Sample
from larkpost.standalone.batches.replication import ReplicaStore, Replication, Replicator
from larkpost.standalone.batches.runner import BatchRunner
from larkpost.standalone.batches.service import SCHEDULE_INTERVAL, BatchService
from larkpost.standalone.blackboard.board import Blackboard, Phase
from larkpost.standalone.blackboard.members import MemberInfo, MemberTable
from larkpost.standalone.controllers.configuration import ConfigurationController
from larkpost.standalone.controllers.directory import EngineDirectory
from larkpost.standalone.controllers.facts import Dissemination
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.controllers.membership import Membership
from larkpost.standalone.controllers.monitor import SUBSCRIBE_INTERVAL, Monitor
from larkpost.standalone.controllers.ownership import Ownership
from larkpost.standalone.controllers.readiness import Readiness
from larkpost.standalone.controllers.weights import WeightController
from larkpost.standalone.engines.port import EnginePort
from larkpost.standalone.routing.dispatcher import Dispatcher
from larkpost.standalone.routing.inference import InferenceService
from larkpost.standalone.routing.retry import RetryBudgets
from larkpost.standalone.routing.run_once import RunOnceRegistry
from larkpost.standalone.routing.selection import Selector
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.settings import Settings
from larkpost.standalone.table_service.ports import MachineList, TableStore
from larkpost.standalone.telemetry import Telemetry
from larkpost.standalone.wire.peer import PeerHandler, PeerMethod, PeerTransport

CONTROL_INTERVAL = 0.5
"""Seconds between rounds of configuration polling and ownership reconciliation."""
SWAP_INTERVAL = 0.1
"""Seconds between rounds of weight swaps; short because trainers wait for swaps."""
JOIN_INTERVAL = 0.25
"""Seconds between the first two attempts to join; doubles with each further one."""
JOIN_INTERVAL_LIMIT = 4.0
"""Maximum seconds between two attempts to join."""
REFRESH_INTERVAL = 1.0
"""Seconds between checks whether the configuration needs to be verified again."""
EXPIRE_INTERVAL = 10.0
"""Seconds between rounds that drop idle batches and expired replicas."""
DRAIN_POLL_INTERVAL = 0.05
"""Seconds between checks for work in flight during a planned stop."""
LAG_INTERVAL = 1.0
"""Seconds between measurements of the event loop's lag."""
REPLICA_LIFETIME_FACTOR = 2
"""Replica lifetime divided by the batch idle timeout; above 1, as the owner must drop first."""


@dataclass(frozen=True, slots=True)
class Ports:
    """Interfaces of the daemon to everything outside it."""

    clock: Clock
    transport: PeerTransport
    engines: EnginePort
    table: TableStore
    machines: MachineList


class Daemon:
    """A standalone daemon with all its components."""

    def __init__(
        self, settings: Settings, ports: Ports, rng: random.Random, log: bool = True
    ) -> None:
        self.settings = settings
        self.telemetry = Telemetry(settings.daemon_id, log)
        own = MemberInfo(settings.daemon_id, settings.zone, settings.listen, ports.clock.wall_ms())
        self.board = Blackboard(MemberTable(own))
        self.tasks = TaskSet(ports.clock, self.telemetry)
        self.activity = Activity()
        self._ports = ports
        self._rng = rng
        self._runtime = Runtime(
            settings, self.board, ports.clock, self.tasks, self.telemetry, self.activity, rng
        )
        self._build_membership()
        self._build_configuration()
        self._build_engines()
        self._build_data_path()
        self._build_batches()

    @property
    def handlers(self) -> dict[PeerMethod, PeerHandler]:
        """Handlers of the requests that other daemons send."""
        return {
            PeerMethod.JOIN: self.membership.on_join,
            PeerMethod.PUSH_FACTS: self.dissemination.on_push,
            PeerMethod.SYNC_FACTS: self.dissemination.on_sync,
            PeerMethod.CONFIGURATION_STATE: self.readiness.on_state,
            PeerMethod.REPLICATE_BATCH: self.batches.on_replicate,
            PeerMethod.FETCH_BATCH: self.batches.on_fetch,
            PeerMethod.RUN_ONCE: self.run_once.on_remote_claim,
        }

    def start(self) -> None:
        """Starts the controllers. The daemon becomes ready once it knows the configuration."""
        poll = self.settings.configuration.duty_poll_interval
        engines = self.settings.engines
        every = self.tasks.every
        self.membership.start()
        self.tasks.spawn(self._join(), "join")
        every(CONTROL_INTERVAL, self.configuration.poll, "configuration")
        every(poll, self.directory.poll, "directory")
        every(REFRESH_INTERVAL, self.readiness.refresh, "readiness")
        every(CONTROL_INTERVAL, self.ownership.reconcile, "ownership")
        every(engines.report_interval, self.monitor.poll_owned_engines, "reports")
        every(engines.report_interval, self.monitor.push_summaries, "summaries")
        every(SUBSCRIBE_INTERVAL, self.monitor.subscribe, "subscriptions")
        every(SWAP_INTERVAL, self.weights.reconcile, "weights")
        every(SWAP_INTERVAL, self.monitor.poll_swapping_engines, "swap-reports")
        every(SCHEDULE_INTERVAL, self.batches.schedule_samples, "schedule")
        every(self.settings.batches.replicate_interval, self.batches.replicate, "replication")
        every(EXPIRE_INTERVAL, self.batches.expire, "expiry")
        every(EXPIRE_INTERVAL, self.replicas.expire, "replica-expiry")
        self.tasks.spawn(self._measure_lag(), "loop-lag")

    async def drain(self) -> None:
        """Stops gracefully: admits nothing new, waits for work in flight, replicates and leaves."""
        self.board.phase = Phase.STOPPING
        self.telemetry.log_state("daemon", Phase.STOPPING)
        self.membership.announce_leaving()
        while self.activity.requests or self.batches.running_attempts:
            await self._ports.clock.sleep(DRAIN_POLL_INTERVAL)
        await self.batches.replicate()
        self.membership.leave()

    def stop(self) -> None:
        """Cancels all tasks."""
        self.tasks.cancel_all()

    def _build_membership(self) -> None:
        runtime, transport = self._runtime, self._ports.transport
        self.gossip = Gossip(self.board, transport, self.telemetry)
        self.membership = Membership(runtime, self.gossip, transport)
        self.dissemination = Dissemination(runtime, self.gossip, transport)

    def _build_configuration(self) -> None:
        runtime, ports = self._runtime, self._ports
        self.readiness = Readiness(runtime, ports.transport, self.dissemination)
        self.configuration = ConfigurationController(
            runtime, ports.table, self.dissemination, self.readiness
        )
        self.directory = EngineDirectory(runtime, ports.machines, self.dissemination)

    def _build_engines(self) -> None:
        runtime, engines = self._runtime, self._ports.engines
        self.ownership = Ownership(runtime, engines)
        self.monitor = Monitor(runtime, engines, self.gossip, self.ownership)
        self.weights = WeightController(
            runtime, engines, self.ownership, self.monitor, self.readiness
        )

    def _build_data_path(self) -> None:
        runtime, ports, settings = self._runtime, self._ports, self.settings
        self.selector = Selector(runtime, self.monitor)
        budgets = RetryBudgets(settings.routing)
        self.dispatcher = Dispatcher(runtime, ports.engines, self.selector, self.monitor, budgets)
        self.run_once = RunOnceRegistry(
            self.board, ports.table, ports.transport, settings.configuration
        )
        self.inference = InferenceService(
            runtime, self.dispatcher, self.selector, self.run_once, self.readiness
        )

    def _build_batches(self) -> None:
        lifetime = REPLICA_LIFETIME_FACTOR * self.settings.batches.idle_timeout
        self.replicas = ReplicaStore(self._ports.clock, lifetime)
        replicator = Replicator(self.board, self._ports.transport)
        self.batches = BatchService(
            self._runtime,
            self.directory,
            Replication(self.replicas, replicator),
            self._make_runner,
            self.readiness,
        )

    def _make_runner(self, ledger: BatchLedger, on_sample: Callable[[Sample], None]) -> BatchRunner:
        return BatchRunner(ledger, self._runtime, self.dispatcher, self.selector, on_sample)

    async def _join(self) -> None:
        """Joins the fleet and waits until the configuration in force is known."""
        self.telemetry.log_state("daemon", Phase.JOINING)
        interval = JOIN_INTERVAL
        joined = False
        while self.board.phase == Phase.JOINING:
            joined = joined or await self.membership.join()
            if await self.configuration.read() or (
                joined and await self.configuration.learn_from_zone()
            ):
                await self._fetch_initial_facts()
                break
            # The jitter keeps daemons that start together from hitting the rate limit together.
            await self._ports.clock.sleep(interval * self._rng.uniform(0.5, 1.0))
            interval = min(2 * interval, JOIN_INTERVAL_LIMIT)
        if self.board.phase == Phase.JOINING:
            self.board.phase = Phase.READY
            self.telemetry.log_state("daemon", Phase.READY)

    async def _fetch_initial_facts(self) -> None:
        """Fetches the known facts from one other daemon, for a fast start."""
        members = self.board.members.alive_others()
        if members:
            await self.dissemination.fetch_from(self._rng.choice(members).address)

    async def _measure_lag(self) -> None:
        while True:
            started = self._ports.clock.now()
            await self._ports.clock.sleep(LAG_INTERVAL)
            lag = self._ports.clock.now() - started - LAG_INTERVAL
            self.telemetry.gauge("loop_lag_seconds", max(lag, 0.0))
