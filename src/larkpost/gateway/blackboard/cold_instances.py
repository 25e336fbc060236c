"""Which instances are cold: slow after their start, and overloaded by more than a few requests."""

from dataclasses import dataclass

from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ConfigurationState
from larkpost.gateway.blackboard.directory import InstanceDirectory


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """What is agreed about the requests that all daemons together send to a cold instance.

    Attributes:
        overage: how many times the rate that it bears may be reached.
        slack: requests that may come on top of that in any second.
    """

    overage: float
    slack: float

    def bound(self, rate: float) -> float:
        """Returns how many requests may go to an instance of a given rate in any second."""
        return rate * self.overage + self.slack


class ColdInstances:
    """Until when each instance is cold, by this daemon's steady clock.

    Whoever says that an instance is cold for longer is believed: its entry, its own responses,
    the end of an evacuation. Nothing makes the time shorter, as news may overtake each other.
    """

    def __init__(self) -> None:
        self._until: dict[InstanceId, float] = {}

    def record(self, instance: InstanceId, left: float | None, now: float) -> None:
        """Records for how many seconds from now an instance stays cold; None if not known."""
        if left:
            self._until[instance] = max(now + left, self._until.get(instance, now))

    def record_zone_restored(
        self,
        zone: ZoneId,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        now: float,
    ) -> None:
        """Records that a zone's evacuation has ended: its instances may have become cold before."""
        for info in directory.all():
            service = configuration.service(info.service)
            if info.zone == zone and service is not None:
                self.record(info.id, service.cold_start, now)

    def is_cold(self, instance: InstanceId, now: float) -> bool:
        """Returns whether an instance is cold."""
        return now < self._until.get(instance, now)

    def seconds_left(self, instance: InstanceId, now: float) -> float:
        """Returns the seconds for which an instance stays cold, as far as is known."""
        return max(0.0, self._until.get(instance, now) - now)

    def current(self, now: float) -> frozenset[InstanceId]:
        """Returns the instances that are cold, and forgets those that no longer are."""
        self._until = {name: until for name, until in self._until.items() if now < until}
        return frozenset(self._until)
