"""Cold instances: slow after their start, and easily overloaded."""

from dataclasses import dataclass

from larkpost.common.ids import InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ConfigurationState
from larkpost.gateway.blackboard.directory import InstanceDirectory


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """Limits on the requests that all daemons together send to a cold instance.

    Attributes:
        overage: allowed multiple of the instance's cold rate.
        slack: extra requests allowed in any second.
    """

    overage: float
    slack: float

    def bound(self, rate: float) -> float:
        """Returns the maximum number of requests in any second for a cold rate."""
        return rate * self.overage + self.slack


class ColdInstances:
    """When each instance stops being cold, in this daemon's steady time.

    Known from the instance's entry, its responses, and the end of an evacuation. The latest time
    counts, as reports may arrive out of order.
    """

    def __init__(self) -> None:
        self._until: dict[InstanceId, float] = {}

    def record(self, instance: InstanceId, left: float | None, now: float) -> None:
        """Records for how many more seconds an instance stays cold; None if unknown."""
        if left:
            self._until[instance] = max(now + left, self._until.get(instance, now))

    def record_zone_restored(
        self,
        zone: ZoneId,
        directory: InstanceDirectory,
        configuration: ConfigurationState,
        now: float,
    ) -> None:
        """Records the end of a zone's evacuation: idle instances may have become cold."""
        for info in directory.all():
            service = configuration.service(info.service)
            if info.zone == zone and service is not None:
                self.record(info.id, service.cold_start, now)

    def is_cold(self, instance: InstanceId, now: float) -> bool:
        """Returns whether an instance is cold."""
        return now < self._until.get(instance, now)

    def seconds_left(self, instance: InstanceId, now: float) -> float:
        """Returns the seconds for which an instance stays cold; 0 if it is not known to be cold."""
        return max(0.0, self._until.get(instance, now) - now)

    def current(self, now: float) -> frozenset[InstanceId]:
        """Returns the cold instances, and forgets those that no longer are cold."""
        self._until = {name: until for name, until in self._until.items() if now < until}
        return frozenset(self._until)
