"""How long a unit of work lastingly takes at one incarnation of a server, its bursts taken out.

A server that shares its machine is slowed now and then for fractions of a second, and for seconds
when it is ill; what tells servers apart for good is what it takes between such times. All figures
are seconds, times are steady. The module needs no network and no clock of its own.

The load that it answers: servers whose usual times differ by two to one, each slowed two to three
times in a sixth of its time. One smoothed figure mixes both, so that equal servers look unequal.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

SLICE_SECONDS = 0.25
"""Measurements of so long a time count as one: a burst must not count by how many runs it meets."""
MAX_SLICES = 12
"""Slices that are kept, at most: three seconds of a server in constant use."""
MIN_SLICES = 2
"""Slices before a pace is known: one may lie in a burst as a whole."""
LOW_QUANTILE = 0.3
"""The slice of this rank, from the quickest, is the sustained pace. So bursts in up to two thirds
of the slices are passed over, and so is a single one that was too quick."""
SLICE_LIFETIME_SECONDS = 60.0
"""How long a slice counts: the few measurements of a server seldom used are worth keeping."""
SUSTAINED_SECONDS = 4.0
"""How long a sustained pace is believed after the last measurement; then the usual one counts, so
that a server that was ill for a while is tried again."""
DEGRADED_RATIO = 1.25
"""Ratio of the sustained to the usual pace from which a server counts as ill."""
BASELINE_LIFETIME_SECONDS = 180.0
"""How long the usual pace is believed after the last measurement."""
FALL_WEIGHT = 0.3
"""Share of a slice in the usual pace if it was quicker."""
RISE_WEIGHT = 0.004
"""The same if it was slower: about a minute of slowness until it counts as usual."""


@dataclass(slots=True)
class _Slice:
    """The measurements of one slice of time.

    Attributes:
        measured: the sum of what was measured.
        corrected: the same with the server's slowness taken out.
    """

    began_at: float
    measured: float = 0.0
    corrected: float = 0.0
    count: int = 0

    def add(self, measured: float, corrected: float) -> None:
        """Adds a measurement."""
        self.measured += measured
        self.corrected += corrected
        self.count += 1

    @property
    def measured_mean(self) -> float:
        """The mean of what was measured."""
        return self.measured / self.count

    @property
    def corrected_mean(self) -> float:
        """The mean of what was measured with the server's slowness taken out."""
        return self.corrected / self.count


class ServiceTimeHistory:
    """What this daemon's own requests have shown of the pace of one incarnation.

    Attributes:
        measured_at: when it was last measured.
    """

    def __init__(self) -> None:
        self.measured_at = float("-inf")
        self._open: _Slice | None = None
        self._closed: deque[_Slice] = deque(maxlen=MAX_SLICES)
        self._sustained = 0.0
        self._usual = 0.0
        self._usual_at = float("-inf")
        """When a slice last counted in the usual pace."""

    def record(self, now: float, seconds: float, slowness: float = 1.0) -> None:
        """Records what a unit of work took.

        Args:
            slowness: how many times as long as usual the server said that work took then.
        """
        if self._open is not None and now - self._open.began_at >= SLICE_SECONDS:
            self._close(self._open)
            self._open = None
            self._forget_old(now)
        if self._open is None:
            self._open = _Slice(now)
        self._open.add(seconds, self._without_slowness(seconds, slowness))
        self.measured_at = now

    def service_time(self, now: float) -> float:
        """Returns the lasting pace as it is believed now; 0 if it is not known.

        It is the sustained pace while the server is measured, and its usual one afterwards.
        """
        if self.is_measured(now):
            return self._sustained
        return self._usual if now - self.measured_at < BASELINE_LIFETIME_SECONDS else 0.0

    def is_measured(self, now: float) -> bool:
        """Returns whether the pace is the sustained one, of the last seconds."""
        return now - self.measured_at < SUSTAINED_SECONDS and bool(self._sustained)

    @property
    def was_degraded(self) -> bool:
        """Whether the server was much slower than usual when it was last measured."""
        return self._sustained > DEGRADED_RATIO * self._usual

    def recent(self, now: float) -> float:
        """Returns what a unit of work took in the last whole slice; 0 if that is long ago."""
        is_recent = now - self.measured_at < SUSTAINED_SECONDS
        return self._closed[-1].corrected_mean if self._closed and is_recent else 0.0

    def _close(self, closed: _Slice) -> None:
        self._drop_slices(closed.began_at)
        self._closed.append(closed)
        if len(self._closed) < MIN_SLICES:
            return
        self._sustained = low_quantile(slice_.corrected_mean for slice_ in self._closed)
        self._usual = smooth_baseline(self._usual, self._sustained)
        self._usual_at = closed.began_at

    def _forget_old(self, now: float) -> None:
        """Forgets paces of long ago, which one new measurement must not make new."""
        self._drop_slices(now)
        if len(self._closed) < MIN_SLICES:
            self._sustained = 0.0
        if now - self._usual_at >= BASELINE_LIFETIME_SECONDS:
            self._usual = 0.0

    def _drop_slices(self, now: float) -> None:
        while self._closed and now - self._closed[0].began_at > SLICE_LIFETIME_SECONDS:
            self._closed.popleft()

    def _without_slowness(self, seconds: float, slowness: float) -> float:
        means = [slice_.measured_mean for slice_ in self._closed]
        if not means:
            return seconds
        return without_slowness(seconds, slowness, min(means), max(means))


def low_quantile(means: Iterable[float]) -> float:
    """Returns the value of rank `QUICK_SHARE` among some, from the least; 0 if there are none."""
    ordered = sorted(means)
    return ordered[int(LOW_QUANTILE * (len(ordered) - 1))] if ordered else 0.0


def smooth_baseline(usual: float, sustained: float) -> float:
    """Returns the usual pace after one more slice; it falls quickly and rises slowly.

    Args:
        usual: before; 0 if it is not known.
        sustained: with the newest slice.
    """
    if not usual:
        return sustained
    share = FALL_WEIGHT if sustained < usual else RISE_WEIGHT
    return usual + share * (sustained - usual)


def without_slowness(seconds: float, slowness: float, quickest: float, slowest: float) -> float:
    """Returns what a unit of work would have taken without the slowness that its server said.

    It is never less than the quickest or more than the slowest that was measured there lately: a
    server that says what its results don't show isn't believed.

    Args:
        slowness: how many times as long as usual, by what the server said.
    """
    corrected = seconds / slowness
    return min(max(corrected, min(quickest, seconds)), max(slowest, seconds))
