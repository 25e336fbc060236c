"""What a daemon knows of instances from its own requests.

Owns the counts of its requests in flight, the paces that it measured, and the pauses after
failures. What other daemons report is kept in `peer_use`.
"""

from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.proxy.service_time_history import ServiceTimeHistory
from larkpost.gateway.proxy.slowness import ReportedSlowness
from larkpost.gateway.servers.port import ServerLoad

LOAD_LIFETIME_SECONDS = 1.0
"""How long a load that a server reported of itself is used."""
SERVICE_TIME_WEIGHT = 0.25
"""Share of the newest measurement in an instance's pace, without unit."""
SERVICE_TIME_LIFETIME_SECONDS = 4.0
"""How long a pace that this daemon measured is used."""
FORGET_SECONDS = 60.0
"""After this long without use the records of instances and daemons that are gone are dropped. It
only bounds memory, and is longer than anything in them is used."""
PROBE_SECONDS = 0.15
"""Pause between two requests to an instance that refuses. Short beside a load of weights, which
takes about a second."""
SUMMARY_DIGITS = 4
"""Decimal places of a pace in seconds as it is reported: a tenth of a millisecond."""


@dataclass(slots=True)
class SpeedStats:
    """What this daemon has learnt of the speed of an instance.

    Attributes:
        slowness: what it said of its slowness in its responses.
        responses: what whole responses to clients' requests and reward calls took there.
        events: what events of the streams of items took there.
    """

    slowness: ReportedSlowness = field(default_factory=ReportedSlowness)
    responses: ServiceTimeHistory = field(default_factory=ServiceTimeHistory)
    events: ServiceTimeHistory = field(default_factory=ServiceTimeHistory)


@dataclass(slots=True)
class InstanceUse:
    """What this daemon knows of one instance from its own requests; times are steady.

    Attributes:
        outstanding: this daemon's requests there.
        others: requests of other daemons there, when the server last reported its load.
        load_at: when the server last reported its load.
        is_refusing: whether it refused the last request to which it responded.
        asked_at: when it was last sent a request while it was refusing.
        avoid_until: time before which it is only a last resort.
        pace: seconds a unit of work takes there, smoothed; 0 if unknown.
        pace_at: when that was last measured.
        response_at: when the pace last was that of a whole response, which includes the latency of
            the network.
        zone: where it is, kept for requests that outlast its entry; None if not known.
        figures: what is known of its speed for good and at this moment; None if nothing is.
    """

    outstanding: int = 0
    peer_requests: int = 0
    load_at: float = float("-inf")
    is_refusing: bool = False
    probed_at: float = float("-inf")
    avoid_until: float = float("-inf")
    service_time: float = 0.0
    service_time_at: float = float("-inf")
    response_at: float = float("-inf")
    zone: ZoneId | None = None
    speed_stats: SpeedStats | None = None

    def mark_refusing(self, now: float) -> None:
        """Has the instance asked with one request at a time until it takes one."""
        self.is_refusing = True
        self.probed_at = now


class LocalUse:
    """The records of all instances that this daemon has used."""

    def __init__(self, directory: InstanceDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._uses: dict[InstanceId, InstanceUse] = {}

    def __len__(self) -> int:
        return len(self._uses)

    def record_for(self, instance: InstanceId) -> InstanceUse:
        """Returns the record of an instance."""
        use = self._uses.get(instance)
        if use is None:
            use = self._uses[instance] = InstanceUse()
        return use

    def occupy(self, instance: InstanceId) -> None:
        """Counts a request at an instance."""
        use = self.record_for(instance)
        use.outstanding += 1
        if use.is_refusing:
            use.probed_at = self._clock.now()
        info = self._directory.get(instance)
        use.zone = info.zone if info is not None else use.zone

    def outstanding_in(self, zone: ZoneId) -> int:
        """Returns this daemon's requests at a zone's instances, also those that left the list."""
        return sum(use.outstanding for use in self._uses.values() if use.zone == zone)

    def record_load(self, instance: InstanceId, load: ServerLoad) -> None:
        """Records the load that a server reported of itself."""
        use = self.record_for(instance)
        use.peer_requests = max(0, load.running + load.waiting - use.outstanding)
        use.load_at = self._clock.now()
        if load.slowness:
            self.ensure_speed_stats(instance).slowness.record(use.load_at, load.slowness)

    def speed_stats(self, instance: InstanceId) -> SpeedStats | None:
        """Returns what is known of the speed of an instance; None if nothing is."""
        use = self._uses.get(instance)
        return use.speed_stats if use is not None else None

    def ensure_speed_stats(self, instance: InstanceId) -> SpeedStats:
        """Returns the figures of an instance, to record in them."""
        use = self.record_for(instance)
        if use.speed_stats is None:
            use.speed_stats = SpeedStats()
        return use.speed_stats

    def measured(self) -> list[InstanceId]:
        """Returns the instances of whose speed something is known."""
        return [name for name, use in self._uses.items() if use.speed_stats is not None]

    def record_service_time(self, instance: InstanceId, seconds: float, weight: float) -> None:
        """Records the time that a unit of work took.

        Args:
            weight: share of this measurement in the smoothed pace.
        """
        use = self.record_for(instance)
        now = self._clock.now()
        if now - use.service_time_at > SERVICE_TIME_LIFETIME_SECONDS:
            use.service_time = seconds
        else:
            use.service_time += weight * (seconds - use.service_time)
        use.service_time_at = now

    def has_recent_load(self, instance: InstanceId) -> bool:
        """Returns whether the load that the server last reported is still used."""
        return self._clock.now() - self.record_for(instance).load_at < LOAD_LIFETIME_SECONDS

    def has_recent_service_time(self, instance: InstanceId) -> bool:
        """Returns whether the pace that this daemon last measured is still used."""
        return (
            self._clock.now() - self.record_for(instance).service_time_at
            < SERVICE_TIME_LIFETIME_SECONDS
        )

    def has_recent_response(self, instance: InstanceId) -> bool:
        """Returns whether the pace is one of whole responses, with the network's latency in it."""
        return (
            self._clock.now() - self.record_for(instance).response_at
            < SERVICE_TIME_LIFETIME_SECONDS
        )

    def avoid(self, instance: InstanceId, seconds: float) -> None:
        """Makes an instance a last resort for a while."""
        use = self.record_for(instance)
        use.avoid_until = max(use.avoid_until, self._clock.now() + seconds)

    def is_avoided(self, instance: InstanceId) -> bool:
        """Returns whether an instance is only a last resort at the moment."""
        return self._clock.now() < self.record_for(instance).avoid_until

    def was_probed_recently(self, instance: InstanceId) -> bool:
        """Returns whether an instance that refuses was sent a request a moment ago."""
        use = self.record_for(instance)
        return use.is_refusing and self._clock.now() - use.probed_at < PROBE_SECONDS

    def summary(self) -> InstanceUsage:
        """Returns what this daemon reports to the others of its use."""
        now = self._clock.now()
        return {
            name: (use.outstanding, round(use.service_time, SUMMARY_DIGITS))
            for name, use in self._uses.items()
            if self._directory.accepts_work(name)
            and (use.outstanding or now - use.service_time_at < SERVICE_TIME_LIFETIME_SECONDS)
        }

    def forget_unused(self, now: float) -> None:
        """Drops the records of instances that are gone and were not used for long."""
        for instance, use in list(self._uses.items()):
            last = max(use.service_time_at + FORGET_SECONDS, use.avoid_until)
            if not use.outstanding and last < now and self._directory.get(instance) is None:
                del self._uses[instance]
