"""Saves what this daemon counts into the store, where whoever reports a window sums it up.

Owns the interval of the savings and their tries.
"""

import asyncio
import contextlib

from larkpost.common.tasks import TaskSet
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.repository import UsageRepository

MIN_SAVE_INTERVAL_SECONDS = 0.5
"""Least seconds between two savings of a daemon's counts: what it counts meanwhile dies with it."""
MAX_SAVES_PER_SECOND = 120.0
"""Most savings that a fleet makes together: one part of the store takes 200 writes a second."""
SAVE_TIMEOUTS = (0.5, 1.0, 1.5)
"""Time limits of the tries to save, in seconds: a response may be lost, or the store may be
slow."""
FINAL_SAVE_SECONDS = 0.8
"""Most seconds that a planned stop waits for its counts to be saved: its kill is near.
Part of `planned_stop.KILL_MARGIN_SECONDS`."""


class UsageCountWriter:
    """Saves the counts of one daemon."""

    def __init__(
        self, repository: UsageRepository, counter: UsageCounter, coordination: Coordination
    ) -> None:
        self._repository = repository
        self._counter = counter
        self._coordination = coordination

    def start(self, tasks: TaskSet) -> None:
        """Starts saving."""
        tasks.every(
            lambda: save_interval(self._coordination.count_alive()), self.save, "usage_counts"
        )

    async def save(self) -> None:
        """Writes what this daemon has counted since it last did."""
        for timeout in SAVE_TIMEOUTS:
            counts = self._counter.unsaved()
            if not counts:
                return
            if await self._repository.save_counts(self._coordination.own, counts, timeout):
                self._counter.record_saved(counts)
                return

    async def save_final(self) -> None:
        """Saves at a planned stop, which must not take long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_SAVE_SECONDS):
                await self.save()


def save_interval(alive: int) -> float:
    """Returns the seconds between two savings of a daemon.

    Args:
        alive: daemons that are considered alive.
    """
    return max(MIN_SAVE_INTERVAL_SECONDS, alive / MAX_SAVES_PER_SECOND)
