"""Saves this daemon's usage counts in the store, where the reporting daemon sums them up.

Owns the save interval and the retries.
"""

import asyncio
import contextlib

from larkpost.common.tasks import TaskSet
from larkpost.gateway.controllers.coordination import Coordination
from larkpost.gateway.usage.counter import UsageCounter
from larkpost.gateway.usage.repository import UsageRepository

MIN_SAVE_INTERVAL_SECONDS = 0.5
"""Minimum interval between two saves; a crash loses the counts since the last save."""
MAX_SAVES_PER_SECOND = 120.0
"""Maximum saves per second of the whole fleet: one part of the store takes 200 writes/s."""
SAVE_TIMEOUTS = (0.5, 1.0, 1.5)
"""Timeouts in seconds of the attempts to save."""
FINAL_SAVE_SECONDS = 0.8
"""Timeout of the last save during a graceful shutdown, which may leave it less time."""


class UsageCountWriter:
    """Periodically saves the counts of one daemon."""

    def __init__(
        self, repository: UsageRepository, counter: UsageCounter, coordination: Coordination
    ) -> None:
        self._repository = repository
        self._counter = counter
        self._coordination = coordination

    def start(self, tasks: TaskSet) -> None:
        """Starts saving periodically."""
        tasks.every(
            lambda: save_interval(self._coordination.count_alive()), self.save, "usage_counts"
        )

    async def save(self) -> None:
        """Saves the windows whose counts have changed since the last save."""
        for timeout in SAVE_TIMEOUTS:
            counts = self._counter.unsaved()
            if not counts:
                return
            if await self._repository.save_counts(self._coordination.own, counts, timeout):
                self._counter.record_saved(counts)
                return

    async def save_final(self) -> None:
        """Saves once more during a graceful shutdown, with a short timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_SAVE_SECONDS):
                await self.save()


def save_interval(alive: int) -> float:
    """Returns the seconds between two saves of one daemon.

    Args:
        alive: number of live daemons.
    """
    return max(MIN_SAVE_INTERVAL_SECONDS, alive / MAX_SAVES_PER_SECOND)
