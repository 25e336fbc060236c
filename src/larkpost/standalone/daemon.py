"""Assembles one daemon from its ports: blackboard, controllers, data path and services.

The same class runs in a process of its own (`larkpost.standalone.server`) and, on simulated ports
and time, in the tests.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.standalone.activity import Activity
from larkpost.standalone.batches.ledger import BatchLedger, Sample
from larkpost.standalone.batches.replication import ReplicaStore, Replicator
from larkpost.standalone.batches.runner import BatchRunner
from larkpost.standalone.batches.service import SCHEDULE_INTERVAL, BatchService
from larkpost.standalone.blackboard.board import Blackboard, Phase
from larkpost.standalone.blackboard.members import MemberInfo, MemberTable
from larkpost.standalone.controllers.configuration import ConfigurationController
from larkpost.standalone.controllers.directory import Directory
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
from larkpost.standalone.settings import Settings
from larkpost.standalone.table_service.ports import MachineList, TableStore
from larkpost.standalone.telemetry import Telemetry
from larkpost.standalone.wire.peer import PeerHandler, PeerMethod, PeerTransport

CONTROL_INTERVAL = 0.5
"""Seconds between rounds of the controllers that reconcile."""
SWAP_INTERVAL = 0.1
"""Seconds between rounds of the weight swaps, on whose end trainers wait."""
JOIN_INTERVAL = 0.25
JOIN_INTERVAL_LIMIT = 4.0
REFRESH_INTERVAL = 1.0
EXPIRE_INTERVAL = 10.0
DRAIN_POLL = 0.05
LAG_INTERVAL = 1.0


@dataclass(frozen=True, slots=True)
class Ports:
    """Everything outside the daemon."""

    clock: Clock
    transport: PeerTransport
    engines: EnginePort
    table: TableStore
    machines: MachineList


class Daemon:
    """One daemon."""

    def __init__(
        self, settings: Settings, ports: Ports, rng: random.Random, log: bool = True
    ) -> None:
        self.settings = settings
        self.telemetry = Telemetry(settings.daemon_id, log)
        own = MemberInfo(settings.daemon_id, settings.zone, settings.listen, ports.clock.wall_ms())
        self.board = Blackboard(MemberTable(own))
        self._ports = ports
        self._rng = rng
        self.tasks = TaskSet(ports.clock, self.telemetry)
        self.activity = Activity()
        self._build_controllers()
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
        every(engines.report_interval, self.monitor.report_owned, "reports")
        every(engines.report_interval, self.monitor.push_summaries, "summaries")
        every(SUBSCRIBE_INTERVAL, self.monitor.subscribe, "subscriptions")
        every(SWAP_INTERVAL, self.weights.reconcile, "weights")
        every(SWAP_INTERVAL, self.monitor.report_swapping, "swap-reports")
        every(SCHEDULE_INTERVAL, self.batches.schedule, "schedule")
        every(self.settings.batches.replicate_interval, self.batches.replicate, "replication")
        every(EXPIRE_INTERVAL, self.batches.expire, "expiry")
        every(EXPIRE_INTERVAL, self.replicas.expire, "replica-expiry")
        self.tasks.spawn(self._measure_lag(), "loop-lag")

    async def drain(self) -> None:
        """Stops as planned: admits nothing new, finishes what is in flight, hands over, leaves."""
        self.board.phase = Phase.STOPPING
        self.telemetry.change("daemon", Phase.STOPPING)
        self.membership.announce_leaving()
        while self.activity.requests or self.batches.running:
            await self._ports.clock.sleep(DRAIN_POLL)
        await self.batches.replicate()
        self.membership.leave()

    def stop(self) -> None:
        """Ends all tasks at once."""
        self.tasks.cancel_all()

    def _build_controllers(self) -> None:
        settings, ports, board = self.settings, self._ports, self.board
        self.gossip = Gossip(board, ports.transport, self.telemetry)
        self.membership = Membership(
            board,
            self.gossip,
            ports.transport,
            ports.clock,
            self.tasks,
            self.telemetry,
            settings.membership,
            settings.peers,
            self._rng,
        )
        self.dissemination = Dissemination(
            board, self.gossip, ports.transport, ports.clock, self.tasks, self.telemetry, self._rng
        )
        self.readiness = Readiness(
            board,
            ports.transport,
            self.dissemination,
            ports.clock,
            settings.configuration,
            settings.membership,
            self._rng,
        )
        self.configuration = ConfigurationController(
            board,
            ports.table,
            self.dissemination,
            self.readiness,
            ports.clock,
            self.telemetry,
            settings.configuration,
            self.activity,
        )
        self.directory = Directory(
            board,
            ports.machines,
            self.dissemination,
            ports.clock,
            self.telemetry,
            settings.configuration,
        )
        self.ownership = Ownership(
            board, ports.engines, ports.clock, self.telemetry, settings.engines
        )
        self.monitor = Monitor(
            board,
            ports.engines,
            self.gossip,
            self.ownership,
            ports.clock,
            self.telemetry,
            settings.engines,
        )
        self.weights = WeightController(
            board,
            ports.engines,
            self.ownership,
            self.monitor,
            self.readiness,
            ports.clock,
            self.telemetry,
            settings.engines,
            self._rng,
        )

    def _build_data_path(self) -> None:
        settings, ports, board = self.settings, self._ports, self.board
        self.selector = Selector(board, self.monitor, ports.clock, settings.engines, self._rng)
        self.dispatcher = Dispatcher(
            board,
            ports.engines,
            self.selector,
            self.monitor,
            RetryBudgets(settings.routing),
            ports.clock,
            self.tasks,
            self.telemetry,
            settings.routing,
            self._rng,
        )
        self.run_once = RunOnceRegistry(board, ports.table, ports.transport, settings.configuration)
        self.inference = InferenceService(
            board,
            self.dispatcher,
            self.selector,
            self.run_once,
            ports.clock,
            self.telemetry,
            settings.routing,
            self.activity,
            self.readiness,
        )

    def _build_batches(self) -> None:
        settings, ports, board = self.settings, self._ports, self.board
        self.replicas = ReplicaStore(ports.clock, 2 * settings.batches.idle_timeout)
        self.batches = BatchService(
            board,
            self.directory,
            self.replicas,
            Replicator(board, ports.transport),
            self._make_runner,
            ports.clock,
            self.telemetry,
            settings.batches,
            self.activity,
            self.readiness,
        )

    def _make_runner(self, ledger: BatchLedger, on_sample: Callable[[Sample], None]) -> BatchRunner:
        return BatchRunner(
            ledger,
            self.board,
            self.dispatcher,
            self.selector,
            self._ports.clock,
            self.tasks,
            self.telemetry,
            self.settings.batches,
            on_sample,
        )

    async def _join(self) -> None:
        """Joins the fleet and waits until the configuration in force is known."""
        self.telemetry.change("daemon", Phase.JOINING)
        interval = JOIN_INTERVAL
        joined = False
        while self.board.phase == Phase.JOINING:
            joined = joined or await self.membership.join()
            if await self.configuration.read() or (
                joined and await self.configuration.learn_from_zone()
            ):
                await self._fetch_facts()
                break
            # Many daemons that start at once would otherwise keep each other at the rate limit.
            await self._ports.clock.sleep(interval * self._rng.uniform(0.5, 1.0))
            interval = min(2 * interval, JOIN_INTERVAL_LIMIT)
        if self.board.phase == Phase.JOINING:
            self.board.phase = Phase.READY
            self.telemetry.change("daemon", Phase.READY)

    async def _fetch_facts(self) -> None:
        """Fetches the directory and policy versions from one daemon, for a fast start."""
        members = self.board.members.alive_others()
        if members:
            await self.dissemination.fetch_from(self._rng.choice(members).address)

    async def _measure_lag(self) -> None:
        while True:
            started = self._ports.clock.now()
            await self._ports.clock.sleep(LAG_INTERVAL)
            lag = self._ports.clock.now() - started - LAG_INTERVAL
            self.telemetry.gauge("loop_lag_seconds", max(lag, 0.0))
