"""The long-term service time of one incarnation of a server, without short bursts of slowness.

A server that shares its machine is slow for fractions of a second now and then, and for seconds
while it is degraded. Servers differ by their service time between such bursts; a smoothed average
would include the bursts, so that equal servers would look unequal.

The sustained service time is a low quantile of the recent slices. The baseline follows it,
slowly when it rises. The long-term service time is the sustained one while measurements are recent,
and the baseline afterwards.

Durations are in seconds and times are in steady time. Uses no network and no clock.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

SLICE_SECONDS = 0.25
"""Measurements within this time are averaged into one slice, so that the weight of a burst does not
depend on the number of runs that it affects."""
MAX_SLICES = 12
"""Maximum number of slices kept."""
MIN_SLICES = 2
"""Slices needed for a service time, as a single one may lie entirely within a burst."""
LOW_QUANTILE = 0.3
"""The sustained service time is this quantile of the slices. It ignores bursts in up to two thirds
of the slices, and a single slice that was too quick."""
SLICE_LIFETIME_SECONDS = 60.0
"""How long a slice is kept; long enough for servers that are seldom used."""
SUSTAINED_SECONDS = 4.0
"""How long the sustained service time is used after the last measurement. The baseline is used
afterwards, so that a server that was degraded is tried again."""
DEGRADED_RATIO = 1.25
"""Ratio of the sustained service time to the baseline above which a server counts as degraded."""
BASELINE_LIFETIME_SECONDS = 180.0
"""How long the baseline is used after the last measurement."""
FALL_WEIGHT = 0.3
"""Weight of a lower sustained service time in the baseline."""
RISE_WEIGHT = 0.004
"""Weight of a higher sustained service time in the baseline; low, so that temporary slowness hardly
changes it. A server that stays slow is followed in about a minute."""


@dataclass(slots=True)
class _Slice:
    """The measurements of one slice of time.

    Attributes:
        measured_sum: sum of the measured seconds.
        corrected_sum: sum of the measured seconds, corrected for the server's reported slowness.
        count: number of measurements.
    """

    began_at: float
    measured_sum: float = 0.0
    corrected_sum: float = 0.0
    count: int = 0

    def add(self, measured: float, corrected: float) -> None:
        """Adds a measurement."""
        self.measured_sum += measured
        self.corrected_sum += corrected
        self.count += 1

    @property
    def measured_mean(self) -> float:
        """Mean of the measured seconds."""
        return self.measured_sum / self.count

    @property
    def corrected_mean(self) -> float:
        """Mean of the seconds corrected for the server's reported slowness."""
        return self.corrected_sum / self.count


class ServiceTimeHistory:
    """The service times that this daemon measured at one incarnation of a server.

    Attributes:
        measured_at: steady time of the last measurement.
    """

    def __init__(self) -> None:
        self.measured_at = float("-inf")
        self._current: _Slice | None = None
        self._slices: deque[_Slice] = deque(maxlen=MAX_SLICES)
        self._sustained = 0.0
        self._baseline = 0.0
        self._baseline_at = float("-inf")
        """When a slice was last included in the baseline."""

    def record(self, now: float, seconds: float, slowness: float = 1.0) -> None:
        """Records the seconds that a unit of work took.

        Args:
            slowness: the server's reported factor on its usual service time at that moment.
        """
        if self._current is not None and now - self._current.began_at >= SLICE_SECONDS:
            self._close(self._current)
            self._current = None
            self._forget_old(now)
        if self._current is None:
            self._current = _Slice(now)
        self._current.add(seconds, self._correct_for_slowness(seconds, slowness))
        self.measured_at = now

    def service_time(self, now: float) -> float:
        """Returns the long-term service time; 0 if it is not known.

        It is the sustained one while measurements are recent, and the baseline afterwards.
        """
        if self.is_recently_measured(now):
            return self._sustained
        return self._baseline if now - self.measured_at < BASELINE_LIFETIME_SECONDS else 0.0

    def is_recently_measured(self, now: float) -> bool:
        """Returns whether the sustained service time is known and recent enough to be used."""
        return now - self.measured_at < SUSTAINED_SECONDS and bool(self._sustained)

    @property
    def was_degraded(self) -> bool:
        """Whether the server was much slower than its baseline when last measured."""
        return self._sustained > DEGRADED_RATIO * self._baseline

    def recent(self, now: float) -> float:
        """Returns the corrected mean of the last complete slice; 0 if that is too old."""
        is_recent = now - self.measured_at < SUSTAINED_SECONDS
        return self._slices[-1].corrected_mean if self._slices and is_recent else 0.0

    def _close(self, closed: _Slice) -> None:
        self._drop_slices(closed.began_at)
        self._slices.append(closed)
        if len(self._slices) < MIN_SLICES:
            return
        self._sustained = low_quantile(slice_.corrected_mean for slice_ in self._slices)
        self._baseline = smooth_baseline(self._baseline, self._sustained)
        self._baseline_at = closed.began_at

    def _forget_old(self, now: float) -> None:
        """Drops expired service times, so that one new measurement does not revive them."""
        self._drop_slices(now)
        if len(self._slices) < MIN_SLICES:
            self._sustained = 0.0
        if now - self._baseline_at >= BASELINE_LIFETIME_SECONDS:
            self._baseline = 0.0

    def _drop_slices(self, now: float) -> None:
        while self._slices and now - self._slices[0].began_at > SLICE_LIFETIME_SECONDS:
            self._slices.popleft()

    def _correct_for_slowness(self, seconds: float, slowness: float) -> float:
        means = [slice_.measured_mean for slice_ in self._slices]
        if not means:
            return seconds
        return correct_for_slowness(seconds, slowness, min(means), max(means))


def low_quantile(means: Iterable[float]) -> float:
    """Returns the `LOW_QUANTILE` of some values; 0 if there are none."""
    ordered = sorted(means)
    return ordered[int(LOW_QUANTILE * (len(ordered) - 1))] if ordered else 0.0


def smooth_baseline(baseline: float, sustained: float) -> float:
    """Returns the baseline after one more slice; it falls quickly and rises slowly.

    Args:
        baseline: the baseline before; 0 if it is not known.
        sustained: the sustained service time, including the newest slice.
    """
    if not baseline:
        return sustained
    weight = FALL_WEIGHT if sustained < baseline else RISE_WEIGHT
    return baseline + weight * (sustained - baseline)


def correct_for_slowness(seconds: float, slowness: float, quickest: float, slowest: float) -> float:
    """Returns a measured time corrected for the slowness that the server reported.

    The result stays between the quickest and the slowest recent measurement, so that a wrong report
    has a limited effect.

    Args:
        slowness: the server's reported factor on its usual service time.
        quickest: the lowest recent slice mean in seconds.
        slowest: the highest recent slice mean in seconds.
    """
    corrected = seconds / slowness
    return min(max(corrected, min(quickest, seconds)), max(slowest, seconds))
