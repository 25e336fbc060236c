"""Chooses instances of a service by load and speed, as far as this daemon knows them.

Combines the load and speed seen by this daemon's own requests (`instance_use`), the reports of
other daemons (`peer_use`), the pool of instances to consider (`server_pool`) and the placement
rules (`placement`), and orders the candidates with `candidate_order`. Estimates the number of
requests at an instance, and decides whether an instance that did not run a request is avoided.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import islice

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.common.ids import DaemonId, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.placement.cold_rate_limit import ColdRateLimit
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.work import CLIENT_WORK, Work
from larkpost.gateway.proxy.candidate_order import CandidateOrder
from larkpost.gateway.proxy.instance_use import (
    FORGET_SECONDS,
    SERVICE_TIME_WEIGHT,
    InstanceUse,
    LocalUse,
)
from larkpost.gateway.proxy.peer_use import PeerUsage
from larkpost.gateway.proxy.server_pool import MIN_OPEN_INSTANCES, CandidatePool, ServerPool
from larkpost.gateway.proxy.service_time_tracker import ServiceTimeTracker
from larkpost.gateway.proxy.subset import DaemonSubsets
from larkpost.gateway.servers.port import NotRunError, NotRunReason, ServerLoad

UNREACHABLE_AVOID_SECONDS = 1.0
"""How long an instance that did not run a request is avoided, unless it was full."""
NOT_SENT_REASONS = (
    NotRunReason.COLD,
    NotRunReason.EVACUATED,
    NotRunReason.OUTSIDE_REGIONS,
    NotRunReason.ISOLATED,
    NotRunReason.QUARANTINED,
)
"""Reasons for which an instance is not avoided: a placement rule forbade only this send."""


def _never_connected(_: InstanceInfo) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class BalancerDependencies:
    """The optional dependencies of a balancer.

    Attributes:
        is_connected: returns whether a connection to an instance is open.
        placement: the placement rules; None for rules that exclude only leaving instances.
        cold: rate limit of cold instances, which knows them; None if no instance is ever cold.
        regions: the region of each zone; None if unknown.
        subsets: this daemon's subsets of large services; None if it is the only daemon.
    """

    is_connected: Callable[[InstanceInfo], bool] = _never_connected
    placement: Placement | None = None
    cold: ColdRateLimit | None = None
    regions: RegionMap | None = None
    subsets: DaemonSubsets | None = None


class Balancer:
    """Tracks the use of all instances and chooses among them.

    Args:
        rng: random generator that breaks ties, with one number for each candidate in the order
            of the directory, and samples the instances of large services.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        clock: Clock,
        rng: random.Random,
        dependencies: BalancerDependencies | None = None,
    ) -> None:
        dependencies = dependencies or BalancerDependencies()
        self._directory = directory
        self._clock = clock
        self._placement = dependencies.placement or Placement(directory)
        self._cold = dependencies.cold
        self._regions = dependencies.regions or RegionMap()
        self._own = LocalUse(directory, clock)
        self._peers = PeerUsage(clock)
        self.service_times = ServiceTimeTracker(directory, clock, self._own, self._peers)
        self._pool = ServerPool(directory, clock, rng, dependencies.subsets)
        self._order = CandidateOrder(
            self, clock, rng, dependencies.is_connected, self.service_times.has_latency
        )
        self._next_cleanup_at = float("-inf")
        self._release_listeners: list[Callable[[InstanceId], None]] = []

    @property
    def placement(self) -> Placement:
        """The placement rules."""
        return self._placement

    def use(self, instance: InstanceId) -> InstanceUse:
        """Returns the record of this daemon's use of an instance."""
        return self._own.record_for(instance)

    # Choosing instances.

    def candidates(
        self,
        service: ServiceName,
        work: Work = CLIENT_WORK,
        *,
        exclude: Collection[InstanceId] = (),
        eligible: Callable[[InstanceInfo], bool] | None = None,
        for_client: bool = False,
        within: frozenset[InstanceId] | None = None,
    ) -> list[InstanceInfo]:
        """Returns the instances that may take a request now, best first.

        Instances that failed recently come last, cold ones just before them. Of a large service
        only some instances are returned.

        Args:
            work: the work to be sent.
            exclude: instances that must not be returned.
            eligible: further condition of the caller on an instance; None for none.
            for_client: whether it is a client request, which prefers an open connection and a
                near instance.
            within: the only instances of a large service to consider; None for all.
        """

        def is_candidate(info: InstanceInfo) -> bool:
            return (
                info.id not in exclude
                and (eligible is None or eligible(info))
                and self._placement.allows(info, work)
            )

        candidate_pool = self.candidate_pool(service, work, within)
        instances = [info for info in candidate_pool.instances if is_candidate(info)]
        if candidate_pool.is_partial and not any(self._is_available(info) for info in instances):
            further = self._pool.extend_pool(service, candidate_pool)
            instances += [info for info in further if is_candidate(info)]
        if candidate_pool.is_partial and not instances:
            found = self._find_open(service, work, within, candidate_pool).instances
            instances = [info for info in found if is_candidate(info)]
        return self._order.ranked(service, instances, for_client=for_client)

    def candidate_pool(
        self, service: ServiceName, work: Work, within: frozenset[InstanceId] | None = None
    ) -> CandidatePool:
        """Returns the instances of a service to consider for a piece of work.

        At least `MIN_OPEN_INSTANCES` of them are open to the work, if there are that many.

        Args:
            within: the only instances of a large service to consider; None for all.
        """
        candidate_pool = self._pool.candidate_pool(service, work, within)
        if not candidate_pool.is_partial:
            return candidate_pool
        open_instances = (info for info in candidate_pool.instances if self._is_open(info, work))
        if len(list(islice(open_instances, MIN_OPEN_INSTANCES))) == MIN_OPEN_INSTANCES:
            return candidate_pool
        return self._find_open(service, work, within, candidate_pool)

    def subset_sizes(self) -> dict[ServiceName, int]:
        """Returns the size of this daemon's subset of each large service."""
        return self._pool.subset_sizes()

    def has_free_slot(self, info: InstanceInfo) -> bool:
        """Returns whether an instance is estimated to have a free slot.

        An instance that refused is probed with one request at a time until it accepts one: while
        it loads weights it refuses every request, however few it runs.
        """
        if self._own.was_probed_recently(info.id):
            return False
        return self.occupied(info) < max(1, info.slots)

    def is_avoided(self, instance: InstanceId) -> bool:
        """Returns whether an instance is only used as a last resort for now."""
        return self._own.is_avoided(instance)

    def is_cold(self, info: InstanceInfo) -> bool:
        """Returns whether an instance is cold and should get few requests."""
        return self._cold is not None and self._cold.is_cold(info)

    def distance(self, info: InstanceInfo) -> Distance:
        """Returns the network distance of an instance."""
        return self._regions.distance(info.zone)

    def occupied(self, info: InstanceInfo) -> int:
        """Returns the estimated number of requests at an instance, from all daemons."""
        use = self._own.record_for(info.id)
        if self._own.has_recent_load(info.id):
            return use.outstanding + use.peer_requests
        return use.outstanding + self._peers.requests(info.id)

    def service_time(self, instance: InstanceId) -> float:
        """Returns the seconds a short request takes at an instance now; 0 if not known."""
        return self.service_times.current(instance)

    def verdicts(
        self, service: ServiceName, work: Work = CLIENT_WORK
    ) -> dict[PlacementDecision, int]:
        """Returns the number of considered instances per placement decision; for the log."""
        return dict(
            Counter(
                self._decision(info, work) for info in self.candidate_pool(service, work).instances
            )
        )

    def is_outside_regions(self, service: ServiceName, work: Work) -> bool:
        """Returns whether no server of a service is in a region where work may be served."""
        if work.regions is None:
            return False
        zones = self._directory.index.zones(service)
        regions = {self._regions.region_of(zone) for zone in zones}
        return not work.regions or bool(regions) and not regions & work.regions

    # Reports between daemons.

    def summary(self) -> InstanceUsage:
        """Returns the summary of this daemon's use that is reported to the other daemons."""
        return self._own.summary()

    def record_peer_summary(self, daemon: DaemonId, summary: InstanceUsage) -> None:
        """Records another daemon's summary of its use, which replaces its last one."""
        self._forget_unused()
        resolved = {self._directory.resolve(name): use for name, use in summary.items()}
        self._peers.record(daemon, resolved)

    # Requests in flight.

    @contextmanager
    def count_request(self, instance: InstanceId) -> Iterator[None]:
        """Counts a request while it is at an instance.

        If it did not run, the release listeners are not called, as no slot became free.
        """
        self.occupy(instance)
        try:
            yield
        except NotRunError:
            self._own.record_for(instance).outstanding -= 1
            raise
        except BaseException:
            self.release(instance)
            raise
        self.release(instance)

    def occupy(self, instance: InstanceId) -> None:
        """Counts a request at an instance until `release` is called for it."""
        self._forget_unused()
        self._own.occupy(instance)

    def release(self, instance: InstanceId) -> None:
        """Stops counting a request at an instance, and calls the release listeners."""
        self._own.record_for(instance).outstanding -= 1
        for listener in self._release_listeners:
            listener(instance)

    def add_release_listener(self, listener: Callable[[InstanceId], None]) -> None:
        """Registers a listener that is called with the instance when a request ends there."""
        self._release_listeners.append(listener)

    def outstanding_in(self, zone: ZoneId) -> int:
        """Returns this daemon's requests in a zone, including at instances no longer listed."""
        return self._own.outstanding_in(zone)

    # Results of requests.

    def record_load(self, instance: InstanceId, load: ServerLoad | None) -> None:
        """Records that an instance responded, and the load that it reported, if any."""
        self._own.record_for(instance).is_refusing = False
        if load is not None:
            self._own.record_load(instance, load)

    def record_cold(self, instance: InstanceId, left: float | None) -> None:
        """Records the seconds for which an instance reports that it stays cold, if any."""
        if self._cold is not None:
            self._cold.record(instance, left)

    def record_service_time(
        self, instance: InstanceId, seconds: float, weight: float = SERVICE_TIME_WEIGHT
    ) -> None:
        """Records the time that a unit of work took at an instance.

        Args:
            weight: weight of this measurement in the smoothed service time.
        """
        self._own.record_service_time(instance, seconds, weight)

    def record_response(self, info: InstanceInfo, seconds: float) -> None:
        """Records the time from a client request to its whole response."""
        self.record_service_time(info.id, seconds)
        self.service_times.record_response(info.id, seconds)
        self._own.record_for(info.id).response_at = self._clock.now()
        self._order.record_response(info, seconds)

    def avoid(self, instance: InstanceId, seconds: float) -> None:
        """Makes an instance a last resort for some seconds."""
        self._own.avoid(instance, seconds)

    def record_not_run(
        self, instance: InstanceId, reason: NotRunReason, full_seconds: float
    ) -> None:
        """Records that an instance certainly did not run a request.

        Args:
            full_seconds: how long to avoid the instance if it was full.
        """
        if reason in NOT_SENT_REASONS:
            return  # the request was not sent, and the instance may accept other work
        if reason is NotRunReason.REPLACED:
            self._directory.mark_replaced(instance)
        is_full = reason is NotRunReason.FULL
        self._own.record_for(instance).is_refusing = is_full
        self.avoid(instance, full_seconds if is_full else UNREACHABLE_AVOID_SECONDS)

    def _find_open(
        self,
        service: ServiceName,
        work: Work,
        within: frozenset[InstanceId] | None,
        candidate_pool: CandidatePool,
    ) -> CandidatePool:
        """Returns instances open to the work, searched among all that may be considered."""
        return self._pool.find_open(
            service, work, within, candidate_pool, lambda info: self._is_open(info, work)
        )

    def _is_open(self, info: InstanceInfo, work: Work) -> bool:
        """Returns whether placement allows work at an instance, now or once it is warm."""
        decision = self._placement.evaluate(info, work)
        return decision.is_allowed or decision is PlacementDecision.COLD

    def _is_available(self, info: InstanceInfo) -> bool:
        return not self.is_avoided(info.id) and self.has_free_slot(info)

    def _decision(self, info: InstanceInfo, work: Work) -> PlacementDecision:
        decision = self._placement.evaluate(info, work)
        return (
            PlacementDecision.AVOIDED
            if decision.is_allowed and self.is_avoided(info.id)
            else decision
        )

    def _forget_unused(self) -> None:
        """Drops the records of removed instances and daemons, at most once per `FORGET_SECONDS`."""
        now = self._clock.now()
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + FORGET_SECONDS
        self._own.forget_unused(now)
        self._peers.forget_old(now)
        self.service_times.forget_old(now)
