"""Updates the gauges of one daemon whenever its metrics are read."""

from dataclasses import dataclass

from larkpost.gateway.assembly.loop_monitor import EventLoopMonitor
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.controllers.feeds import Feeds
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.memory.daemon_memory import DaemonMemory
from larkpost.gateway.observability.metrics import Level, Metrics
from larkpost.gateway.placement.cold_rate_limit import ColdRateLimit
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.rollouts.batch_manager import BatchManager
from larkpost.gateway.store.relay import RelayedStore


@dataclass(frozen=True, slots=True)
class Gauges:
    """Updates the gauges from the components of a daemon.

    Attributes:
        relay: the store, if it can be reached through peers; else None.
    """

    metrics: Metrics
    lifecycle: Lifecycle
    blackboard: Blackboard
    feeds: Feeds
    membership: Membership
    balancer: Balancer
    cold_rate_limit: ColdRateLimit
    batch_manager: BatchManager
    event_loop_monitor: EventLoopMonitor
    relay: RelayedStore | None
    memory: DaemonMemory

    def update(self) -> None:
        """Updates all gauges."""
        self._set_configuration()
        self._set_instances()
        self._set_fleet()
        self._set_work()
        self.memory.set_gauges()

    def _set_configuration(self) -> None:
        """Sets the gauges of the configuration, the feeds and known crashes."""
        metrics, blackboard = self.metrics, self.blackboard
        current = blackboard.configuration.current
        metrics.set(Level.CONFIGURATION_VERSION, current.version if current is not None else 0)
        for name, age in self.feeds.ages().items():
            metrics.set(Level.FEED_AGE, age, name)
        metrics.set(Level.QUARANTINED, blackboard.crashes.count_quarantined())
        metrics.set(Level.CRASHES_KNOWN, len(blackboard.crashes))

    def _set_instances(self) -> None:
        """Sets the gauges of instances and evacuated zones."""
        metrics = self.metrics
        for state, count in self.blackboard.directory.counts().items():
            metrics.set(Level.INSTANCES, count, state)
        metrics.set(Level.INSTANCES_COLD, self.cold_rate_limit.count_cold_instances())
        metrics.replace(Level.INSTANCES_OF_SUBSET, self.balancer.subset_sizes())
        zones = self.blackboard.evacuations.zones()
        metrics.replace(Level.EVACUATED, dict.fromkeys(zones, 1))
        in_zones = {zone: self.balancer.outstanding_in(zone) for zone in zones}
        metrics.replace(Level.EVACUATED_REQUESTS, in_zones)

    def _set_fleet(self) -> None:
        """Sets the gauges of the daemons, and of this daemon's access to the store."""
        metrics = self.metrics
        metrics.set(Level.MEMBERS, len(self.membership.alive()))
        metrics.set(Level.COORDINATOR, int(self.membership.is_coordinator()))
        is_relayed = self.relay is not None and self.relay.is_relayed
        metrics.set(Level.STORE_RELAYED, int(is_relayed))

    def _set_work(self) -> None:
        """Sets the gauges of this daemon's requests and batches."""
        metrics = self.metrics
        metrics.set(Level.OPEN_REQUESTS, self.lifecycle.open_requests)
        metrics.set(Level.READY, int(self.lifecycle.ready))
        owned = self.batch_manager.owned()
        metrics.set(Level.BATCHES_OWNED, len(owned))
        metrics.set(Level.ITEMS_RUNNING, sum(batch.unfinished_items for batch in owned))
        metrics.set(Level.REWARDS_WAITING, sum(batch.unscored_outputs for batch in owned))
        metrics.set(Level.RESULTS_WAITING, sum(batch.pending_results for batch in owned))
        metrics.set(Level.LOOP_LAG, self.event_loop_monitor.take_max_lag())
