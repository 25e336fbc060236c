"""Generation speeds of engines as observed by this daemon, and detection of stragglers."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.common.ids import EngineId

SMOOTHING_FACTOR = 0.1
"""Weight of a new observation in the exponential moving average."""
SPEED_LIFETIME_SECONDS = 10.0
"""Seconds after its last observation at which a speed expires, so a straggler is tried again."""
SLOW_RATIO = 0.4
"""An engine below this fraction of the pool's median speed is a straggler."""
MIN_COMPARED_ENGINES = 3
"""Minimum number of engines with a known speed for a comparison."""


@dataclass(slots=True)
class _Speed:
    tokens_per_second: float
    at: float


class EngineSpeeds:
    """Moving averages of tokens per second of one sequence, by engine."""

    def __init__(self) -> None:
        self._speeds: dict[EngineId, _Speed] = {}

    def record(self, engine: EngineId, tokens: int, seconds: float, now: float) -> None:
        """Records that ``tokens`` of one sequence arrived within ``seconds``."""
        if tokens <= 0 or seconds <= 0:
            return
        observed = tokens / seconds
        known = self._speeds.get(engine)
        if known is not None and now - known.at <= SPEED_LIFETIME_SECONDS:
            observed = known.tokens_per_second + SMOOTHING_FACTOR * (
                observed - known.tokens_per_second
            )
        self._speeds[engine] = _Speed(observed, now)

    def stragglers(self, engines: Iterable[EngineId], now: float) -> set[EngineId]:
        """Returns the engines that are slower than ``SLOW_RATIO`` times the median of all given."""
        known = {
            engine: self._speeds[engine].tokens_per_second
            for engine in engines
            if engine in self._speeds and now - self._speeds[engine].at <= SPEED_LIFETIME_SECONDS
        }
        if len(known) < MIN_COMPARED_ENGINES:
            return set()
        limit = SLOW_RATIO * statistics.median(known.values())
        return {engine for engine, speed in known.items() if speed < limit}
