"""How fast each engine generates, as this daemon saw it, and which ones are stragglers."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from larkpost.common.ids import EngineId

SMOOTHING_FACTOR = 0.1
"""Weight of a new observation in the moving average."""
SPEED_LIFETIME_SECONDS = 10.0
"""Seconds after the last observation at which an engine is given another chance."""
SLOW_RATIO = 0.4
"""An engine below this share of the pool's median speed is a straggler."""
MIN_COMPARED_ENGINES = 3
"""Engines with a known speed that a comparison needs."""


@dataclass(slots=True)
class _Speed:
    tokens_per_second: float
    at: float


class EngineSpeeds:
    """Moving averages of tokens per second and sequence, by engine."""

    def __init__(self) -> None:
        self._speeds: dict[EngineId, _Speed] = {}

    def record(self, engine: EngineId, tokens: int, seconds: float, now: float) -> None:
        """Records an observation: so many tokens of one sequence arrived within some seconds."""
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
        """Returns the engines that are much slower than the others of their pool."""
        known = {
            engine: self._speeds[engine].tokens_per_second
            for engine in engines
            if engine in self._speeds and now - self._speeds[engine].at <= SPEED_LIFETIME_SECONDS
        }
        if len(known) < MIN_COMPARED_ENGINES:
            return set()
        limit = SLOW_RATIO * statistics.median(known.values())
        return {engine for engine, speed in known.items() if speed < limit}
