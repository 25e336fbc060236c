"""This daemon's view of the others: which are alive, which coordinate, where they run.

Derived from the lists of slow and fast heartbeats, which `membership` refreshes; it calls `update`
after each change.
"""

from collections.abc import Iterable

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.common.ids import Address, DaemonId, RegionId, ZoneId
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.coordinators import choose_coordinator, should_coordinate
from larkpost.gateway.controllers.heartbeat import machine_of
from larkpost.gateway.controllers.heartbeat_intervals import fast_heartbeat_interval
from larkpost.gateway.controllers.heartbeat_list import HeartbeatList

MAX_LISTING_AGE_INTERVALS = 3.0
"""Intervals without a listing after which a daemon with fast heartbeats considers its view
outdated; fewer than `heartbeat_list.MISSED_HEARTBEATS`, after which others consider it dead."""


class FleetView:
    """The daemons of the fleet, as listed by this one.

    Args:
        own: this process's id, unique to one incarnation.
        slow_heartbeats: infrequent heartbeats, which every daemon writes.
        fast_heartbeats: frequent heartbeats, which coordinators and batch owners write.
        regions: the regions of zones, this daemon's own zone included.
    """

    def __init__(
        self,
        own: DaemonId,
        slow_heartbeats: HeartbeatList,
        fast_heartbeats: HeartbeatList,
        regions: RegionMap,
        clock: Clock,
    ) -> None:
        self.own = own
        self.slow_heartbeats = slow_heartbeats
        self.fast_heartbeats = fast_heartbeats
        self.is_leaving = False
        self._regions = regions
        self._clock = clock
        self._started_at = clock.now()
        self._alive: frozenset[DaemonId] = frozenset({own})
        self._coordinators: tuple[DaemonId, ...] = ()

    @property
    def listed(self) -> bool:
        """Whether the daemons have been listed at least once."""
        return (
            self.slow_heartbeats.listed_at is not None
            and self.fast_heartbeats.listed_at is not None
        )

    def age(self) -> float:
        """Returns the seconds since this daemon started."""
        return self._clock.now() - self._started_at

    def has_recent_listing(self) -> bool:
        """Returns whether this daemon has recently listed the fast heartbeats.

        If not, a daemon that writes fast heartbeats may soon be considered dead, and another may
        take over its work.
        """
        listed_at = self.fast_heartbeats.listed_at
        if listed_at is None:
            return False
        interval = fast_heartbeat_interval(len(self.fast_heartbeats.seen))
        return self._clock.now() - listed_at < MAX_LISTING_AGE_INTERVALS * interval

    def alive(self) -> frozenset[DaemonId]:
        """Returns the daemons considered alive, including this one unless it is leaving."""
        return self._alive

    def is_alive(self, daemon: DaemonId) -> bool:
        """Returns whether a daemon is considered alive."""
        return daemon in self._alive

    def is_owner_alive(self, owner: DaemonId, since: float) -> bool:
        """Returns whether the owner of a batch is considered alive.

        Fast heartbeats are expected from the moment at which it becomes the owner.

        Args:
            since: steady time at which this daemon learnt that it is the owner.
        """
        if owner == self.own:
            return not self.is_leaving
        listed_at = self.fast_heartbeats.listed_at
        if listed_at is None:
            return False
        seen = self.fast_heartbeats.seen.get(owner)
        if seen is not None and seen.heartbeat.leaving:
            return False
        heard_at = max(seen.changed_at, since) if seen is not None else since
        reported = seen.heartbeat.interval if seen is not None else 0.0
        interval = max(reported, fast_heartbeat_interval(len(self.fast_heartbeats.seen)))
        return listed_at - heard_at < self.fast_heartbeats.silence_limit(interval)

    def is_coordinator(self) -> bool:
        """Returns whether this daemon orders engine loads and claims batches."""
        return self.own in self._coordinators

    def choose_coordinator(
        self, key: str, regions: frozenset[RegionId] | None = None
    ) -> DaemonId | None:
        """Returns the coordinator that rendezvous hashing selects for a key; None if there is none.

        Args:
            regions: the coordinator must be in one of these; None for any region.
        """
        eligible = [
            name
            for name in self._coordinators
            if regions is None or self.region_of(name) in regions
        ]
        return choose_coordinator(key, eligible, self._capacities(eligible))

    def region_of(self, daemon: DaemonId) -> RegionId | None:
        """Returns the region of a daemon; None if it is unknown."""
        if daemon == self.own:
            return self._regions.own_region
        seen = self.slow_heartbeats.seen.get(daemon)
        zone = seen.heartbeat.zone if seen is not None else None
        return self._regions.region_of(zone) if zone is not None else None

    def peers(self) -> dict[Address, Distance]:
        """Returns the addresses at which live peers relay store calls, and their distances."""
        return {
            seen.heartbeat.address: self._regions.distance(seen.heartbeat.zone or ZoneId(""))
            for name, seen in self.slow_heartbeats.seen.items()
            if seen.heartbeat.address is not None and name in self._alive and name != self.own
        }

    def clock_offsets(self) -> list[float]:
        """Returns by how many seconds each daemon's clock is ahead of the store's."""
        reported = (seen.heartbeat.clock_offset for seen in self.slow_heartbeats.seen.values())
        return [offset for offset in reported if offset is not None]

    def update(self) -> None:
        """Recomputes which daemons are alive and which of them are coordinators."""
        alive = self._responsive_daemons()
        alive.discard(self.own)
        coordinators = [name for name in alive if self._reports_coordinating(name)]
        if not self.is_leaving:
            alive.add(self.own)
            regions, capacities = self._regions_of(alive), self._capacities(alive)
            if should_coordinate(self.own, regions, self.age(), capacities):
                coordinators.append(self.own)
        self._alive = frozenset(alive)
        self._coordinators = tuple(sorted(coordinators))

    def _responsive_daemons(self) -> set[DaemonId]:
        """Returns the daemons whose heartbeats are current."""
        newest = self._newest_incarnations()
        names = self.slow_heartbeats.seen.keys() | self.fast_heartbeats.seen.keys()
        return {name for name in names if self._is_responsive(name, newest)}

    def _is_responsive(self, daemon: DaemonId, newest: dict[str, int]) -> bool:
        """Returns whether a daemon's heartbeats are current; fast ones take precedence."""
        if daemon in self.fast_heartbeats.seen:
            return self.fast_heartbeats.is_responsive(daemon)
        is_newest = self.slow_heartbeats.seen[daemon].version == newest[machine_of(daemon)]
        return is_newest and self.slow_heartbeats.is_responsive(daemon)

    def _newest_incarnations(self) -> dict[str, int]:
        """Returns each machine's newest row version among its incarnations' slow heartbeats."""
        newest: dict[str, int] = {}
        for name, seen in self.slow_heartbeats.seen.items():
            machine = machine_of(name)
            newest[machine] = max(seen.version, newest.get(machine, 0))
        return newest

    def _reports_coordinating(self, daemon: DaemonId) -> bool:
        seen = self.fast_heartbeats.seen.get(daemon)
        return seen is not None and seen.heartbeat.coordinates

    def _capacities(self, daemons: Iterable[DaemonId]) -> dict[DaemonId, float | None]:
        """Returns the reported capacities; for this daemon the listed one, which the others see."""
        return {name: self._capacity(name) for name in daemons}

    def _capacity(self, daemon: DaemonId) -> float | None:
        seen = self.fast_heartbeats.seen.get(daemon) or self.slow_heartbeats.seen.get(daemon)
        return seen.heartbeat.report.capacity if seen is not None else None

    def _regions_of(self, daemons: Iterable[DaemonId]) -> dict[DaemonId, RegionId | None]:
        return {name: self.region_of(name) for name in daemons}
