"""What a daemon knows about instances from its own requests.

Owns the counts of its requests in flight, the measured service times, and the times until which
failed instances are avoided. Reports of other daemons are kept in `peer_use`.
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
"""How long a load that a server reported is used."""
SERVICE_TIME_WEIGHT = 0.25
"""Weight of the newest measurement in an instance's smoothed service time, without unit."""
SERVICE_TIME_LIFETIME_SECONDS = 4.0
"""How long a service time that this daemon measured is used."""
FORGET_SECONDS = 60.0
"""Time without use after which the records of removed instances and daemons are dropped. It bounds
memory, and is longer than any value in them is used."""
PROBE_SECONDS = 0.15
"""Interval between requests to an instance that refuses; shorter than loading weights takes."""
SUMMARY_DIGITS = 4
"""Decimal places of a reported service time in seconds."""


@dataclass(slots=True)
class SpeedStats:
    """What this daemon has measured of the speed of an instance.

    Attributes:
        slowness: the slowness that the instance reported in its responses.
        responses: service times of whole responses to client requests and reward calls.
        events: service times of events in the streams of items.
    """

    slowness: ReportedSlowness = field(default_factory=ReportedSlowness)
    responses: ServiceTimeHistory = field(default_factory=ServiceTimeHistory)
    events: ServiceTimeHistory = field(default_factory=ServiceTimeHistory)


@dataclass(slots=True)
class InstanceUse:
    """What this daemon knows about one instance from its own requests; times are in steady time.

    Attributes:
        outstanding: this daemon's requests in flight there.
        peer_requests: other daemons' requests there, when the server last reported its load.
        load_at: when the server last reported its load.
        is_refusing: whether it refused the last request to which it responded.
        probed_at: when it was last sent a request while it was refusing.
        avoid_until: time until which it is only used as a last resort.
        service_time: smoothed seconds that a unit of work takes there; 0 if unknown.
        service_time_at: when the service time was last measured.
        response_at: when a whole response was last measured, which includes the network latency.
        zone: its zone, kept for requests that outlive its directory entry; None if unknown.
        speed_stats: its long-term and current speed; None if nothing is known.
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
        """Limits the instance to one probe request at a time until it accepts one."""
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
        """Counts a request in flight at an instance."""
        use = self.record_for(instance)
        use.outstanding += 1
        if use.is_refusing:
            use.probed_at = self._clock.now()
        info = self._directory.get(instance)
        use.zone = info.zone if info is not None else use.zone

    def outstanding_in(self, zone: ZoneId) -> int:
        """Returns this daemon's requests in a zone, including at instances no longer listed."""
        return sum(use.outstanding for use in self._uses.values() if use.zone == zone)

    def record_load(self, instance: InstanceId, load: ServerLoad) -> None:
        """Records the load that a server reported."""
        use = self.record_for(instance)
        use.peer_requests = max(0, load.running + load.waiting - use.outstanding)
        use.load_at = self._clock.now()
        if load.slowness:
            self.ensure_speed_stats(instance).slowness.record(use.load_at, load.slowness)

    def speed_stats(self, instance: InstanceId) -> SpeedStats | None:
        """Returns the speed statistics of an instance; None if there are none."""
        use = self._uses.get(instance)
        return use.speed_stats if use is not None else None

    def ensure_speed_stats(self, instance: InstanceId) -> SpeedStats:
        """Returns the speed statistics of an instance, creating them if necessary."""
        use = self.record_for(instance)
        if use.speed_stats is None:
            use.speed_stats = SpeedStats()
        return use.speed_stats

    def measured(self) -> list[InstanceId]:
        """Returns the instances that have speed statistics."""
        return [name for name, use in self._uses.items() if use.speed_stats is not None]

    def record_service_time(self, instance: InstanceId, seconds: float, weight: float) -> None:
        """Records the time that a unit of work took.

        Args:
            weight: weight of this measurement in the smoothed service time.
        """
        use = self.record_for(instance)
        now = self._clock.now()
        if now - use.service_time_at > SERVICE_TIME_LIFETIME_SECONDS:
            use.service_time = seconds
        else:
            use.service_time += weight * (seconds - use.service_time)
        use.service_time_at = now

    def has_recent_load(self, instance: InstanceId) -> bool:
        """Returns whether the last reported load is recent enough to be used."""
        return self._clock.now() - self.record_for(instance).load_at < LOAD_LIFETIME_SECONDS

    def has_recent_service_time(self, instance: InstanceId) -> bool:
        """Returns whether the last measured service time is recent enough to be used."""
        return (
            self._clock.now() - self.record_for(instance).service_time_at
            < SERVICE_TIME_LIFETIME_SECONDS
        )

    def has_recent_response(self, instance: InstanceId) -> bool:
        """Returns whether a whole response, with its network latency, was measured recently."""
        return (
            self._clock.now() - self.record_for(instance).response_at
            < SERVICE_TIME_LIFETIME_SECONDS
        )

    def avoid(self, instance: InstanceId, seconds: float) -> None:
        """Makes an instance a last resort for some seconds."""
        use = self.record_for(instance)
        use.avoid_until = max(use.avoid_until, self._clock.now() + seconds)

    def is_avoided(self, instance: InstanceId) -> bool:
        """Returns whether an instance is only used as a last resort for now."""
        return self._clock.now() < self.record_for(instance).avoid_until

    def was_probed_recently(self, instance: InstanceId) -> bool:
        """Returns whether a refusing instance was sent a probe request recently."""
        use = self.record_for(instance)
        return use.is_refusing and self._clock.now() - use.probed_at < PROBE_SECONDS

    def summary(self) -> InstanceUsage:
        """Returns the summary of this daemon's use that is reported to the other daemons."""
        now = self._clock.now()
        return {
            name: (use.outstanding, round(use.service_time, SUMMARY_DIGITS))
            for name, use in self._uses.items()
            if self._directory.accepts_work(name)
            and (use.outstanding or now - use.service_time_at < SERVICE_TIME_LIFETIME_SECONDS)
        }

    def forget_unused(self, now: float) -> None:
        """Drops the records of removed instances that have not been used recently."""
        for instance, use in list(self._uses.items()):
            last = max(use.service_time_at + FORGET_SECONDS, use.avoid_until)
            if not use.outstanding and last < now and self._directory.get(instance) is None:
                del self._uses[instance]
